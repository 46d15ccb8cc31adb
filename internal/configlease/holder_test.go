package configlease

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testLease = 3 * time.Second

// fakeClient records lease requests and replies with a function that the test can
// replace.
type fakeClient struct {
	mu       sync.Mutex
	handle   func(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error)
	received []*pb.LeaseRequest
}

func (f *fakeClient) Lease(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
	f.mu.Lock()
	handle := f.handle
	f.received = append(f.received, req)
	f.mu.Unlock()
	return handle(ctx, req)
}

func (f *fakeClient) set(handle func(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handle = handle
}

func (f *fakeClient) requests() []*pb.LeaseRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.received)
}

// confirm returns a handler that confirms the revision with a full reply.
func confirm(revision uint64, contracts ...*pb.Contract) func(context.Context, *pb.LeaseRequest) (*pb.LeaseReply, error) {
	return func(_ context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
		return &pb.LeaseReply{Nonce: req.Nonce, Revision: revision, UpTo: revision, LeaseMs: uint32(testLease.Milliseconds()), Contracts: contracts}, nil
	}
}

// noReply does not reply before ctx ends.
func noReply(ctx context.Context, _ *pb.LeaseRequest) (*pb.LeaseReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func newHolder(client LeaseClient, onLease func(bool)) *Holder {
	return NewHolder(Config{
		Router:  "r1",
		Client:  client,
		Logger:  &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		Scope:   tally.NoopScope,
		OnLease: onLease,
	})
}

// run runs the holder in a synctest bubble and stops it after the test function.
func run(t *testing.T, client *fakeClient, onLease func(bool), test func(t *testing.T, h *Holder)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHolder(client, onLease)
		ended := make(chan struct{})
		go func() {
			h.Run(ctx)
			close(ended)
		}()
		defer func() {
			cancel()
			<-ended
		}()
		test(t, h)
	})
}

func contract(customer string, revision uint64, key byte) *pb.Contract {
	sum := [32]byte{key}
	return &pb.Contract{Customer: customer, Revision: revision, KeyHashes: [][]byte{sum[:]}}
}

// The delay of a reply must shorten the lease. If the lease duration started when
// the reply arrives, the lease could outlive the quorum's confirmation.
func TestLeaseCountsFromTheRequest(t *testing.T) {
	const delay = 900 * time.Millisecond
	client := &fakeClient{}
	client.set(func(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
		time.Sleep(delay)
		client.set(noReply)
		return confirm(1)(ctx, req)
	})
	run(t, client, nil, func(t *testing.T, h *Holder) {
		time.Sleep(delay + time.Millisecond)
		if _, _, ok := h.Lease(); !ok {
			t.Fatal("no lease after the reply")
		}
		time.Sleep(testLease - delay)
		if _, _, ok := h.Lease(); ok {
			t.Fatal("the lease is still valid one lease duration after its request")
		}
	})
}

// Lease replies (in the test's name, evidence) that have a lower revision or are not for
// the request must be refused.
func TestForeignAndOldEvidenceIsRefused(t *testing.T) {
	client := &fakeClient{}
	client.set(confirm(5, contract("harga", 5, 1)))
	run(t, client, nil, func(t *testing.T, h *Holder) {
		time.Sleep(time.Second)
		client.set(confirm(4, contract("harga", 4, 2)))
		time.Sleep(testLease)
		if revision, _, ok := h.Lease(); ok || revision != 5 {
			t.Fatalf("reply with a lower revision: lease %v at revision %d", ok, revision)
		}
		if _, ok := h.ContractByKey([32]byte{2}); ok {
			t.Fatal("a lower revision was applied")
		}
		client.set(func(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
			reply, err := confirm(6)(ctx, req)
			reply.Nonce--
			return reply, err
		})
		time.Sleep(time.Second)
		if revision, _, ok := h.Lease(); ok || revision != 5 {
			t.Fatalf("reply to another request: lease %v at revision %d", ok, revision)
		}
	})
}

func TestPartsAreFetchedAtOnceAndAcknowledged(t *testing.T) {
	client := &fakeClient{}
	client.set(func(_ context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
		next := req.HeldRevision + 1
		reply := &pb.LeaseReply{Nonce: req.Nonce, Revision: 3, LeaseMs: uint32(testLease.Milliseconds()), UpTo: min(next, 3), Partial: next < 3}
		if next <= 3 {
			reply.Contracts = []*pb.Contract{contract("harga", next, byte(next))}
		}
		return reply, nil
	})
	run(t, client, nil, func(t *testing.T, h *Holder) {
		if err := h.WaitFirstLease(t.Context()); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		var held []uint64
		for _, req := range client.requests() {
			held = append(held, req.HeldRevision)
		}
		if !slices.Equal(held, []uint64{0, 1, 2, 3}) {
			t.Fatalf("requests sent at once with held revisions %v", held)
		}
		if _, ok := h.ContractByKey([32]byte{3}); !ok || len(h.Contracts()) != 1 {
			t.Fatalf("contracts %v", h.Contracts())
		}
	})
}

func TestPartGivesNoLease(t *testing.T) {
	client := &fakeClient{}
	client.set(func(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
		client.set(noReply)
		return &pb.LeaseReply{Nonce: req.Nonce, Revision: 3, UpTo: 1, Partial: true, LeaseMs: 3000}, nil
	})
	run(t, client, nil, func(t *testing.T, h *Holder) {
		time.Sleep(500 * time.Millisecond)
		if _, _, ok := h.Lease(); ok {
			t.Fatal("a partial reply gave a lease")
		}
	})
}

// OnLease must be called when the lease expires, even while a request is in
// flight.
// In the test's name, the hook is OnLease, and won means obtained.
func TestHookTellsWonAndLost(t *testing.T) {
	client := &fakeClient{}
	client.set(confirm(1))
	events := &leaseEvents{}
	run(t, client, events.record, func(t *testing.T, h *Holder) {
		synctest.Wait()
		client.set(noReply)
		time.Sleep(testLease + DefaultPollInterval)
		synctest.Wait()
		_, until, ok := h.Lease()
		held, at := events.all()
		if ok || !slices.Equal(held, []bool{true, false}) || at[1].Before(until) || at[1].Sub(until) > time.Millisecond {
			t.Fatalf("the lease expired at %v; OnLease was called with %v at %v", until, held, at)
		}
		client.set(confirm(1))
		time.Sleep(2 * time.Second)
		if held, _ := events.all(); !slices.Equal(held, []bool{true, false, true}) {
			t.Fatalf("OnLease was called with %v", held)
		}
	})
}

// leaseEvents records the calls of OnLease and their times.
type leaseEvents struct {
	mu   sync.Mutex
	held []bool
	at   []time.Time
}

func (e *leaseEvents) record(held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = append(e.held, held)
	e.at = append(e.at, time.Now())
}

func (e *leaseEvents) all() ([]bool, []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.held), slices.Clone(e.at)
}

func TestFailureIsRetriedSoon(t *testing.T) {
	client := &fakeClient{}
	client.set(func(context.Context, *pb.LeaseRequest) (*pb.LeaseReply, error) { return nil, errors.New("no leader") })
	run(t, client, nil, func(t *testing.T, h *Holder) {
		time.Sleep(time.Second)
		if n := len(client.requests()); n < 8 || n > 15 {
			t.Fatalf("%d requests in 1 s", n)
		}
	})
}

func TestKeyMovesBetweenCustomersAndDeletion(t *testing.T) {
	tab := newTable()
	apply := func(revision uint64, contracts ...*pb.Contract) {
		if err := tab.apply(&pb.LeaseReply{Revision: revision, Contracts: contracts}); err != nil {
			t.Fatal(err)
		}
	}
	apply(2, contract("harga", 1, 1), contract("batangas", 2, 2))
	// harga releases key 1 and batangas takes it, in one reply.
	apply(4, contract("batangas", 4, 1), contract("harga", 3, 3))
	if k, ok := tab.contractByKey([32]byte{1}); !ok || k.Customer != "batangas" {
		t.Fatalf("key 1 belongs to %v", k)
	}
	deleted := contract("batangas", 5, 1)
	deleted.Deleted = true
	apply(5, deleted)
	if _, ok := tab.contractByKey([32]byte{1}); ok || len(tab.contracts()) != 1 {
		t.Fatal("a deleted contract is still found")
	}
	apply(5, contract("harga", 2, 9))
	if _, ok := tab.contractByKey([32]byte{9}); ok {
		t.Fatal("an older version replaced a newer one")
	}
}

func BenchmarkRequestPath(b *testing.B) {
	client := &fakeClient{}
	client.set(confirm(1, contract("harga", 1, 1)))
	h := newHolder(client, nil)
	if _, err := h.requestLease(b.Context()); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, _, ok := h.Lease(); !ok {
				if _, err := h.requestLease(context.Background()); err != nil {
					b.Error(err)
				}
			}
			if _, ok := h.ContractByKey([32]byte{1}); !ok {
				b.Error("no contract")
			}
		}
	})
}
