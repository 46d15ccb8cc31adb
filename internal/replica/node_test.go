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

	"github.com/wigeonwood/wigeonwood/internal/testseed"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// TestMain fixes the seed and the number of random histories, unless the
// command line names them, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	testseed.Fix(1, 60)
	goleak.VerifyTestMain(m)
}

// listMachine keeps all commands in order.
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

// instance is one process's worth of a replica, over real transport.
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
	node, err := Start(context.Background(), cfg)
	if err != nil {
		in.t.Fatal(err)
	}
	in.node = node
	l, err := net.Listen("tcp", in.addr)
	if err != nil {
		in.t.Fatal(err)
	}
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

// emptyDir gives the instance a new, empty folder.
func (in *instance) emptyDir() { in.dir = in.t.TempDir() }

type cluster []*instance

// newCluster starts n founders.
func newCluster(t testing.TB, n int, edit func(*Config)) cluster {
	t.Helper()
	var addrs []string
	for range n {
		addrs = append(addrs, freeAddr(t))
	}
	var f cluster
	for _, addr := range addrs {
		f = append(f, &instance{t: t, addr: addr, dir: t.TempDir(), founders: addrs, edit: edit})
	}
	t.Cleanup(func() {
		for _, in := range f {
			in.stop()
		}
	})
	for _, in := range f {
		in.start()
	}
	return f
}

func freeAddr(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// leader waits for a leader that may act.
func (f cluster) leader() *instance {
	f[0].t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, in := range f {
			if in.node == nil {
				continue
			}
			if _, _, ok := in.node.LeaderLease(); ok {
				return in
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	f[0].t.Fatal("no leader")
	return nil
}

// propose commits data at whoever leads, again until it is known to be in.
func (f cluster) propose(data string) {
	f[0].t.Helper()
	for range 50 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, _, err := f.leader().node.Propose(ctx, []byte(data))
		cancel()
		if err == nil {
			return
		}
		if !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrOutcomeUnknown) {
			f[0].t.Fatal(err)
		}
	}
	f[0].t.Fatalf("%q was not committed", data)
}

// eventually waits for a condition.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// requireApplied waits until the instance applied all of want, in order.
func requireApplied(t testing.TB, in *instance, want []string) {
	t.Helper()
	eventually(t, "all commands applied at "+in.addr, func() bool {
		return containsInOrder(in.machine.items(), want)
	})
}

// containsInOrder allows for commands that a resend doubled.
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
	f := newCluster(t, 3, nil)
	var want []string
	commit := func(n int) {
		for range n {
			s := fmt.Sprintf("command %d", len(want))
			f.propose(s)
			want = append(want, s)
		}
	}
	commit(20)
	old := f.leader()
	old.stop()
	commit(20)
	old.start()
	for _, in := range f {
		requireApplied(t, in, want)
	}
	for _, in := range f {
		in.stop()
	}
	for _, in := range f {
		in.start()
	}
	commit(1)
	for _, in := range f {
		requireApplied(t, in, want)
	}
}
