package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/goleak"

	"github.com/wigeonwood/wigeonwood/internal/testkit"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// TestMain sets a fixed seed and number of random histories, unless flags on the
// command line set them, so that every run gives the same result.
func TestMain(m *testing.M) {
	testseed.Fix(1, 60)
	goleak.VerifyTestMain(m)
}

// listMachine is a state machine that holds all commands in order.
type listMachine struct {
	mu   sync.Mutex
	list []string
}

func (m *listMachine) Apply(e Entry) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, string(e.Data))
	return []byte(fmt.Sprint(len(m.list)))
}

func (m *listMachine) Snapshot(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.list {
		buf := binary.BigEndian.AppendUint32(nil, uint32(len(s)))
		if _, err := w.Write(append(buf, s...)); err != nil {
			return err
		}
	}
	return nil
}

func (m *listMachine) Restore(r io.Reader) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = nil
	for {
		var length uint32
		err := binary.Read(r, binary.BigEndian, &length)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		buf := make([]byte, length)
		if _, err := io.ReadFull(r, buf); err != nil {
			return err
		}
		m.list = append(m.list, string(buf))
	}
}

func (m *listMachine) items() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.list...)
}

// instance is one replica with its own server and connection pool over TCP.
type instance struct {
	t        testing.TB
	addr     string
	dir      string
	founders []string
	edit     func(*Config)

	node    *Node
	machine *listMachine
	server  *transport.Server
	pool    *transport.Pool
	served  chan struct{}
}

func (in *instance) start() {
	in.t.Helper()
	logger := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	in.machine = &listMachine{}
	in.server = transport.NewServer("token", logger)
	in.pool = transport.NewPool("token", nil, nil)
	cfg := Config{
		Dir: in.dir, Addr: in.addr, DataCentre: "dc1", Founders: in.founders, Group: 1,
		Machine: in.machine, Server: in.server, Pool: in.pool, Logger: logger,
		TickInterval: 20 * time.Millisecond,
	}
	if in.edit != nil {
		in.edit(&cfg)
	}
	l, err := net.Listen("tcp", in.addr)
	if err != nil {
		in.t.Fatal(err)
	}
	node, err := Start(context.Background(), cfg)
	if err != nil {
		l.Close()
		in.t.Fatal(err)
	}
	in.node = node
	served := make(chan struct{})
	in.served = served
	go func() {
		defer close(served)
		_ = in.server.Serve(l)
	}()
}

func (in *instance) stop() {
	if in.node == nil {
		return
	}
	in.node.Close()
	in.server.Close()
	<-in.served
	in.pool.Close()
	in.node = nil
}

// emptyDir gives the instance a new, empty directory.
func (in *instance) emptyDir() { in.dir = in.t.TempDir() }

type cluster []*instance

// newCluster starts n founders.
func newCluster(t testing.TB, n int, edit func(*Config)) cluster {
	t.Helper()
	var addrs []string
	for range n {
		addrs = append(addrs, testkit.FreeAddr(t))
	}
	var c cluster
	for _, addr := range addrs {
		c = append(c, &instance{t: t, addr: addr, dir: t.TempDir(), founders: addrs, edit: edit})
	}
	t.Cleanup(func() {
		for _, in := range c {
			in.stop()
		}
	})
	for _, in := range c {
		in.start()
	}
	return c
}

// leader waits until a replica holds the leader lease, and returns it.
func (c cluster) leader() *instance {
	c[0].t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, in := range c {
			if in.node == nil {
				continue
			}
			if _, _, ok := in.node.LeaderLease(); ok {
				return in
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c[0].t.Fatal("no leader")
	return nil
}

// propose proposes data at the current leader and retries until a proposal
// succeeds. An attempt of unknown outcome may thus commit data twice.
func (c cluster) propose(data string) {
	c[0].t.Helper()
	for range 50 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, _, err := c.leader().node.Propose(ctx, []byte(data))
		cancel()
		if err == nil {
			return
		}
		if !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrOutcomeUnknown) {
			c[0].t.Fatal(err)
		}
	}
	c[0].t.Fatalf("%q was not committed", data)
}

// eventually waits for a condition.
func eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("time limit exceeded while waiting for: %s", condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// requireApplied waits until the instance has applied all of want, in order.
func requireApplied(t testing.TB, in *instance, want []string) {
	t.Helper()
	eventually(t, "all commands applied at "+in.addr, func() bool {
		return containsInOrder(in.machine.items(), want)
	})
}

// containsInOrder reports whether want is a subsequence of got: a retry may have
// committed a command twice.
func containsInOrder(got, want []string) bool {
	i := 0
	for _, s := range got {
		if i < len(want) && s == want[i] {
			i++
		}
	}
	return i == len(want)
}

func TestThreeNodesCommitFailOverAndRestart(t *testing.T) {
	c := newCluster(t, 3, nil)
	var want []string
	commit := func(n int) {
		for range n {
			s := fmt.Sprintf("command %d", len(want))
			c.propose(s)
			want = append(want, s)
		}
	}
	commit(20)
	old := c.leader()
	old.stop()
	commit(20)
	old.start()
	for _, in := range c {
		requireApplied(t, in, want)
	}
	for _, in := range c {
		in.stop()
	}
	for _, in := range c {
		in.start()
	}
	commit(1)
	for _, in := range c {
		requireApplied(t, in, want)
	}
}
