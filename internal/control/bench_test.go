package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonwood/wigeonwood/internal/configlease"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// BenchmarkDoubledRuns sends bookings whose callers resend to another router after
// a lost response, with and without a claim before each dispatch, and counts the
// bookings that ran more than once. Every third dispatch loses its response and is
// never resolved, as if its router had failed. The leader fails halfway.
func BenchmarkDoubledRuns(b *testing.B) {
	for _, claims := range []bool{false, true} {
		b.Run(fmt.Sprintf("claims=%v", claims), func(b *testing.B) {
			f := startDiskFleet(b, diskOptions{})
			run := &bookingRun{claims: claims, latency: hdrhistogram.New(1, 60_000_000, 3)}
			for range 3 {
				run.clients = append(run.clients, f.client(b))
			}
			f.leader(b)
			b.ResetTimer()
			for i := range b.N {
				if i == b.N/2 {
					f.leader(b).stop()
				}
				run.book(b, fmt.Sprint("booking-", i))
			}
			b.ReportMetric(float64(run.doubled), "doubled")
			b.ReportMetric(float64(run.unanswered), "not-answered")
			b.ReportMetric(float64(run.latency.ValueAtQuantile(50))/1000, "claim-p50-ms")
			b.ReportMetric(float64(run.latency.ValueAtQuantile(99))/1000, "claim-p99-ms")
		})
	}
}

// bookingRun sends the bookings of one benchmark and counts their results.
type bookingRun struct {
	clients                                  []*Client
	claims                                   bool
	latency                                  *hdrhistogram.Histogram
	dispatched, attempt, doubled, unanswered int
}

// book sends one booking until its caller has an answer, or a claim shows that the
// booking may already have run.
func (r *bookingRun) book(b *testing.B, key string) {
	runs := 0
	defer func() {
		if runs > 1 {
			r.doubled++
		}
	}()
	for router := 0; ; router++ {
		c := r.clients[router%len(r.clients)]
		r.attempt++
		claim := bookingOf(key, fmt.Sprint("r", router%len(r.clients)), 1, uint64(r.attempt))
		if r.claims && !r.claim(b, c, claim) {
			r.unanswered++
			return
		}
		runs++
		r.dispatched++
		if r.dispatched%3 == 0 {
			continue
		}
		if r.claims {
			r.resolve(b, c, claim)
		}
		return
	}
}

func (r *bookingRun) claim(b *testing.B, c *Client, claim *pb.Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	start := time.Now()
	result, err := c.Claim(ctx, claim)
	if err != nil {
		b.Fatal(err)
	}
	_ = r.latency.RecordValue(time.Since(start).Microseconds())
	return result.Status == pb.ClaimStatus_CLAIM_STATUS_GRANTED
}

func (r *bookingRun) resolve(b *testing.B, c *Client, claim *pb.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.Resolve(ctx, &pb.Resolve{
		Customer:          claim.Customer,
		Key:               claim.Key,
		Router:            claim.Router,
		RouterIncarnation: claim.RouterIncarnation,
		Attempt:           claim.Attempt,
		Outcome:           pb.ClaimOutcome_CLAIM_OUTCOME_DONE,
		Answer:            &pb.StoredAnswer{Status: 201},
	})
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkLeaderLoss stops the leader and measures how long 9 routers are without
// a lease, and how long it takes until a change that is sent at that moment is
// active at all routers.
func BenchmarkLeaderLoss(b *testing.B) {
	for _, lease := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		b.Run(fmt.Sprint("lease=", lease), func(b *testing.B) {
			var without, inForce time.Duration
			for range b.N {
				w, f := measureLeaderLoss(b, lease)
				without += w
				inForce += f
			}
			b.ReportMetric(float64(without.Milliseconds())/float64(b.N), "unleased-ms/router")
			b.ReportMetric(float64(inForce.Milliseconds())/float64(b.N), "in-force-ms")
		})
	}
}

func measureLeaderLoss(b *testing.B, lease time.Duration) (without, inForce time.Duration) {
	const routers, sample = 9, 10 * time.Millisecond
	f := startDiskFleet(b, diskOptions{lease: lease})
	c := f.client(b)
	f.leader(b)
	holders := f.routers(b, routers, 0, nil)
	revision := mustAccept(b, c, change("op-0", "aina", 0)).Revision
	mustBeInForce(b, c, revision)
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(sample):
			}
			for _, h := range holders {
				if _, _, ok := h.Lease(); !ok {
					without += sample
				}
			}
		}
	})
	start := time.Now()
	f.leader(b).stop()
	revision = mustAccept(b, c, change("op-1", "aina", revision)).Revision
	mustBeInForce(b, c, revision)
	inForce = time.Since(start)
	close(done)
	watch.Wait()
	for _, r := range f.replicas {
		r.stop()
	}
	return without / routers, inForce
}

// BenchmarkLeaseRequests measures concurrent lease requests at the leader.
func BenchmarkLeaseRequests(b *testing.B) {
	f := startDiskFleet(b, diskOptions{})
	f.leader(b)
	c := f.client(b)
	mustAccept(b, c, change("op-0", "aina", 0))
	var routers atomic.Int64
	b.SetParallelism(32)
	cpu := cpuTime(b)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		id := fmt.Sprint("r", routers.Add(1))
		for nonce := uint64(1); p.Next(); nonce++ {
			if _, err := c.Lease(context.Background(), &pb.LeaseRequest{Router: id, Nonce: nonce, HeldRevision: 1}); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N), "cpu-us/op")
}

// cpuTime returns the CPU time of this process, which runs the clients, the
// transport and the replicas.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// byteMeter counts the bytes that calls send and receive, without the headers of
// the transport and of TCP.
type byteMeter struct{ n atomic.Int64 }

func (m *byteMeter) Sent(_ string, n int)     { m.n.Add(int64(n)) }
func (m *byteMeter) Received(_ string, n int) { m.n.Add(int64(n)) }

// BenchmarkChangeInForce measures the time from sending a change to the
// confirmation that it is active at all routers, with three replicas on disk, of
// which none or one has failed.
func BenchmarkChangeInForce(b *testing.B) {
	for _, lost := range []int{0, 1} {
		for _, poll := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			b.Run(fmt.Sprintf("routers=9/lost=%d/poll=%v", lost, poll), func(b *testing.B) { benchInForce(b, 9, lost, poll) })
		}
	}
	for _, routers := range []int{300, 1800} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) { benchInForce(b, routers, 0, configlease.DefaultPollInterval) })
	}
}

func benchInForce(b *testing.B, routers, lost int, poll time.Duration) {
	f := startDiskFleet(b, diskOptions{})
	c := f.client(b)
	f.leader(b)
	meter := &byteMeter{}
	f.routers(b, routers, poll, meter)
	for _, r := range f.replicas {
		if lost == 1 && r != f.leader(b) {
			r.stop()
			break
		}
	}
	revision := mustAccept(b, c, change("op-0", "aina", 0)).Revision
	mustBeInForce(b, c, revision)
	hist := hdrhistogram.New(1, 60_000_000, 3)
	meter.n.Store(0)
	begin, cpu := time.Now(), cpuTime(b)
	b.ResetTimer()
	for i := range b.N {
		start := time.Now()
		revision = mustAccept(b, c, change(fmt.Sprint("op-", i+1), "aina", revision)).Revision
		mustBeInForce(b, c, revision)
		_ = hist.RecordValue(time.Since(start).Microseconds())
	}
	b.StopTimer()
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric((cpuTime(b)-cpu).Seconds()/time.Since(begin).Seconds(), "cores")
	b.ReportMetric(float64(meter.n.Load())/float64(routers)/time.Since(begin).Seconds(), "B/s/router")
}
