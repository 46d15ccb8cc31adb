package instance

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// TestReplicaStartsWithWhatItKnew restarts a replica that has committed tables and knows a
// target. For an election timeout the restarted replica has no leader. It must nevertheless
// load its newest table and the target from disk at once.
func TestReplicaStartsWithWhatItKnew(t *testing.T) {
	const (
		tables = tablesPerSnapshot + 5
		// bound is half of an election timeout.
		bound = 400 * time.Millisecond
	)
	addr := testkit.FreeAddr(t)
	cfg := RoutedConfig{
		ID: "replica", DataCentre: "a", PeerListen: addr, Seeds: []string{addr}, Founders: []string{addr},
		DataDir: t.TempDir(), PeerToken: "0123456789abcdef0123456789abcdef", TargetLease: 7200 * time.Millisecond,
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	}
	first, err := StartRouted(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for number := uint64(1); number <= tables; number++ {
		testkit.Eventually(t, fmt.Sprintf("table %d is committed", number), func() bool {
			held, err := first.PutTable(context.Background(), number, testkit.LargeTable(int(number)))
			return err == nil && held == number
		})
	}
	target := &pb.TargetStatus{Id: "t", Incarnation: 3, Sequence: 1, Addr: "10.0.0.1:80", Service: "s"}
	if err := first.RecordHeartbeat(t.Context(), target); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "the target is cached", func() bool { return len(first.cachedTargets()) == 1 })
	first.Close()

	restarted, err := StartRouted(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if number, _ := restarted.sync.Current(); number > 0 {
			break
		}
	}
	if number, _ := restarted.sync.Current(); number < tables-1 {
		t.Errorf("table %d is active %v after the start, %d was committed", number, bound, tables)
	}
	if got := restarted.members.Targets(); len(got) != 1 || got[0].Id != "t" {
		t.Errorf("targets at the start: %v", got)
	}
}
