package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/configlease"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const testToken = "secret"

// diskReplica is a replica with its journal on disk that serves on the loopback
// interface.
type diskReplica struct {
	dir, addr string
	opts      diskOptions
	node      *replica.Node
	server    *transport.Server
	pool      *transport.Pool
	service   *Service
	served    sync.WaitGroup
}

type diskFleet struct {
	founders []string
	replicas []*diskReplica
}

// diskOptions overrides defaults of a fleet; zero values keep the defaults.
type diskOptions struct {
	lease           time.Duration
	snapshotEntries uint64
}

func startDiskFleet(t testing.TB, opts diskOptions) *diskFleet {
	f := &diskFleet{}
	listeners := make([]net.Listener, 3)
	for i := range listeners {
		listeners[i] = listen(t, "127.0.0.1:0")
		f.founders = append(f.founders, listeners[i].Addr().String())
	}
	for i, l := range listeners {
		r := &diskReplica{dir: t.TempDir(), addr: f.founders[i], opts: opts}
		f.replicas = append(f.replicas, r)
		r.start(t, f.founders, l)
	}
	t.Cleanup(func() {
		for _, r := range f.replicas {
			r.stop()
		}
	})
	return f
}

func listen(t testing.TB, addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (r *diskReplica) start(t testing.TB, founders []string, l net.Listener) {
	r.server = transport.NewServer(testToken, discardLogger())
	r.pool = transport.NewPool(testToken, nil, nil)
	machine := state.New()
	node, err := replica.Start(context.Background(), replica.Config{
		Dir:        r.dir,
		Addr:       r.addr,
		DataCentre: "dc1",
		Founders:   founders,
		Machine:    machine,
		Server:     r.server,
		Pool:       r.pool,
		Logger:     discardLogger(),
		Scope:      tally.NoopScope,

		SnapshotEntries: r.opts.snapshotEntries,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.node = node
	r.service = NewService(Config{
		Log:    node,
		State:  machine,
		Server: r.server,
		Pool:   r.pool,
		Logger: discardLogger(),
		Scope:  tally.NoopScope,
		Lease:  r.opts.lease,
	})
	r.served.Go(func() { _ = r.server.Serve(l) })
}

// stop stops the replica. Further calls have no effect.
func (r *diskReplica) stop() {
	if r.node == nil {
		return
	}
	r.service.Close()
	r.node.Close()
	r.server.Close()
	r.pool.Close()
	r.served.Wait()
	r.node = nil
}

func (f *diskFleet) leader(t testing.TB) *diskReplica {
	for range 200 {
		for _, r := range f.replicas {
			if r.node == nil {
				continue
			}
			if _, _, ok := r.node.LeaderLease(); ok {
				return r
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("no leader")
	return nil
}

func (f *diskFleet) client(t testing.TB) *Client { return f.meteredClient(t, nil) }

func (f *diskFleet) meteredClient(t testing.TB, m transport.Meter) *Client {
	pool := transport.NewPool(testToken, nil, m)
	c := NewClient(ClientConfig{
		Pool:     pool,
		Replicas: func() []string { return f.founders },
		Logger:   discardLogger(),
		Scope:    tally.NoopScope,
	})
	t.Cleanup(func() {
		pool.Close()
		c.Close()
	})
	return c
}

// routers starts n lease holders and waits for their first leases.
func (f *diskFleet) routers(t testing.TB, n int, poll time.Duration, m transport.Meter) []*configlease.Holder {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	holders := make([]*configlease.Holder, n)
	for i := range holders {
		holders[i] = configlease.NewHolder(configlease.Config{
			Router:       fmt.Sprint("r", i),
			Incarnation:  1,
			Client:       f.meteredClient(t, m),
			PollInterval: poll,
			Logger:       discardLogger(),
			Scope:        tally.NoopScope,
		})
		wg.Go(func() { holders[i].Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	waitCtx, cancelWait := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancelWait()
	for _, h := range holders {
		if err := h.WaitFirstLease(waitCtx); err != nil {
			t.Fatal(err)
		}
	}
	return holders
}

func mustAccept(t testing.TB, c *Client, ch *pb.ConfigChange) *pb.ChangeResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := c.Change(ctx, ch)
	if err != nil || r.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		t.Fatalf("change %s: %v, %v", ch.OperationId, r, err)
	}
	return r
}

func mustBeInForce(t testing.TB, c *Client, revision uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if reply, err := c.InForce(ctx, revision); err != nil || !reply.InForce {
		t.Fatalf("revision %d in force: %v, %v", revision, reply, err)
	}
}

// A resend must get the first result after 500 changes, the loss of the leader and
// a restart of all replicas from snapshots and journals. The routers must end with
// leases at the last revision.
func TestResendAcrossRestartOfAllReplicas(t *testing.T) {
	f := startDiskFleet(t, diskOptions{snapshotEntries: 100})
	c := f.client(t)
	first := mustAccept(t, c, change("op-first", "aina", 0))
	revision := first.Revision
	for i := range 500 {
		if i == 250 {
			f.leader(t).stop()
		}
		revision = mustAccept(t, c, change(fmt.Sprint("op-", i), "bayani", revision)).Revision
	}
	for _, r := range f.replicas {
		r.stop()
	}
	for _, r := range f.replicas {
		r.start(t, f.founders, listen(t, r.addr))
	}
	holders := f.routers(t, 3, 0, nil)
	again := mustAccept(t, c, change("op-first", "aina", 0))
	if !again.Resent {
		t.Fatal("the result of the resend does not have Resent set")
	}
	again.Resent = first.Resent
	if !proto.Equal(first, again) {
		t.Fatalf("first result %v, result of the resend %v", first, again)
	}
	mustBeInForce(t, c, revision)
	for _, h := range holders {
		if held, _, ok := h.Lease(); !ok || held != revision {
			t.Fatalf("lease %v at revision %d, want %d", ok, held, revision)
		}
	}
}

func bookingOf(key, router string, incarnation, attempt uint64) *pb.Claim {
	return &pb.Claim{
		Customer:          "batangas",
		Key:               key,
		Digest:            make([]byte, state.DigestBytes),
		Router:            router,
		RouterIncarnation: incarnation,
		Attempt:           attempt,
		RequestId:         fmt.Sprint(router, "-", attempt),
	}
}

// Routers claim the same keys concurrently while the leader fails. Each key must be
// granted to exactly one router, and every claim must end within its time limit.
func TestOneGrantForEachKeyWhileTheLeaderIsLost(t *testing.T) {
	const keys, routers = 150, 4
	f := startDiskFleet(t, diskOptions{})
	f.leader(t)
	var granted [keys]atomic.Int32
	var claimed atomic.Int32
	var wg sync.WaitGroup
	for r := range routers {
		c := f.client(t)
		wg.Go(func() {
			for i := range keys {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				result, err := c.Claim(ctx, bookingOf(fmt.Sprint("booking-", i), fmt.Sprint("r", r), 1, uint64(i)))
				cancel()
				if err != nil {
					t.Errorf("claim %d of router %d: %v", i, r, err)
				}
				if result.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_GRANTED {
					granted[i].Add(1)
				}
				claimed.Add(1)
			}
		})
	}
	for claimed.Load() < keys*routers/3 {
		time.Sleep(time.Millisecond)
	}
	f.leader(t).stop()
	wg.Wait()
	for i := range granted {
		if n := granted[i].Load(); n != 1 {
			t.Errorf("key %d was granted %d times", i, n)
		}
	}
}
