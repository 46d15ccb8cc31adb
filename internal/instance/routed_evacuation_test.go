package instance

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// An order must be rejected, without an entry in the log, while a live replica runs a build
// that ignores it: after an upgrade that replica would lack the order. A replica that
// restarts must have the set no later than its table.
func TestEvacuationNeedsSupportOfAllReplicas(t *testing.T) {
	addr := testkit.FreeAddr(t)
	cfg := RoutedConfig{
		ID: "replica", DataCentre: "a", PeerListen: addr, Seeds: []string{addr}, Founders: []string{addr},
		DataDir: t.TempDir(), PeerToken: "0123456789abcdef0123456789abcdef", TargetLease: 7200 * time.Millisecond,
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	}
	in, err := StartRouted(cfg)
	if err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the table is committed", func() bool {
		_, err := in.PutTable(t.Context(), 1, testkit.LargeTable(1))
		return err == nil
	})
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	earlier, err := member.Start(member.Config{
		Self:  &pb.RouterStatus{Id: "earlier", Incarnation: 1, PeerAddr: conn.LocalAddr().String(), State: pb.RouterState_ROUTER_STATE_SERVING, Replica: true},
		Seeds: []string{addr}, Conn: conn, Token: cfg.PeerToken, Logger: cfg.Logger, Scope: tally.NoopScope,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer earlier.Close()
	testkit.Eventually(t, "the replica of an earlier build is known", func() bool { return len(in.members.Routers()) == 2 })
	if err := in.SetEvacuation(t.Context(), "dc", true); !errors.Is(err, ErrEvacuationUnsupported) {
		t.Errorf("with a replica of an earlier build: %v", err)
	}
	if set := in.sync.Evacuations(); set != nil {
		t.Errorf("a rejected order changed the set to %v", set)
	}
	if err := earlier.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the order is committed", func() bool { return in.SetEvacuation(t.Context(), "dc", true) == nil })
	if err := in.SetEvacuation(t.Context(), strings.Repeat("x", 65), true); !errors.Is(err, ErrInvalidEvacuation) {
		t.Errorf("an invalid name: %v", err)
	}
	in.Close()

	restarted, err := StartRouted(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	testkit.Eventually(t, "the table is active", func() bool { return restarted.activeTable.Number() == 1 })
	if !restarted.sync.Evacuated("dc") {
		t.Error("the table is active without the evacuations")
	}
}
