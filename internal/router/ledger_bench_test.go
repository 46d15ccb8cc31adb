package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/control"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const peerToken = "fleet"

// newLedger starts three control replicas with logs on disk and returns a
// router's client for their ledger.
func newLedger(b *testing.B) filter.Ledger {
	quiet := &log.Logger{Level: log.PanicLevel}
	listeners := make([]net.Listener, 3)
	addrs := make([]string, 3)
	for i := range listeners {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i], addrs[i] = ln, ln.Addr().String()
	}
	for i, ln := range listeners {
		server := transport.NewServer(peerToken, quiet)
		pool := transport.NewPool(peerToken, nil, nil)
		machine := state.New()
		node, err := replica.Start(context.Background(), replica.Config{
			Dir: b.TempDir(), Addr: addrs[i], DataCentre: "dc1", Founders: addrs,
			Machine: machine, Server: server, Pool: pool, Logger: quiet, Scope: tally.NoopScope,
		})
		if err != nil {
			b.Fatal(err)
		}
		service := control.NewService(control.Config{
			Log: node, State: machine, Server: server, Pool: pool, Logger: quiet, Scope: tally.NoopScope,
		})
		go server.Serve(ln)
		b.Cleanup(func() { service.Close(); node.Close(); server.Close(); pool.Close() })
	}
	pool := transport.NewPool(peerToken, nil, nil)
	client := control.NewClient(control.ClientConfig{
		Pool: pool, Replicas: func() []string { return addrs }, Logger: quiet, Scope: tally.NoopScope,
	})
	b.Cleanup(func() { client.Close(); pool.Close() })
	return client
}

// BenchmarkBooking compares bookings with and without a key at 1, 32 and 256
// requests in flight. A booking with a key is claimed in the ledger before it
// runs and resolved after it.
func BenchmarkBooking(b *testing.B) {
	ledger := newLedger(b)
	addr := target(b, func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		io.WriteString(w, "booked")
	})
	h := newHarness(b, service("s1", addr))
	h.router.claim.Ledger = ledger
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	var keys atomic.Int64
	for _, inFlight := range []int{1, 32, 256} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("in-flight=%d/claim=%v", inFlight, keyed), func(b *testing.B) {
				latency := newHistogram()
				var mu sync.Mutex
				var wg sync.WaitGroup
				var left atomic.Int64
				left.Store(int64(b.N))
				for range inFlight {
					wg.Go(func() {
						for left.Add(-1) >= 0 {
							req, _ := http.NewRequest("POST", h.url+"/v1/services/lab/book", nil)
							req.Header.Set("Authorization", "Bearer "+testKey)
							if keyed {
								req.Header.Set("Idempotency-Key", fmt.Sprint("k", keys.Add(1)))
							}
							start := time.Now()
							resp, err := client.Do(req)
							if err != nil {
								b.Error(err)
								return
							}
							io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
							if resp.StatusCode != http.StatusOK {
								b.Errorf("status %d", resp.StatusCode)
							}
							mu.Lock()
							latency.RecordValue(time.Since(start).Microseconds())
							mu.Unlock()
						}
					})
				}
				wg.Wait()
				report(b, "booking", latency)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "bookings/s")
			})
		}
	}
}

// BenchmarkDoubled counts the bookings that run twice, with and without a claim,
// under every fault at every fault point that both kinds of request have. Callers
// resend to the other router if they get no complete answer.
func BenchmarkDoubled(b *testing.B) {
	for _, k := range []requestKind{unkeyed, keyed} {
		b.Run(k.String(), func(b *testing.B) {
			for b.Loop() {
				var cells, doubled, unanswered atomic.Int64
				var wg sync.WaitGroup
				for _, f := range faults {
					for at := range numFaultPoints {
						if cannotOccur(f, unkeyed, at, false) != "" {
							continue
						}
						cells.Add(1)
						wg.Go(func() {
							runs, answered := bookUntilAnswered(newTestCluster(b, k, at, f))
							if runs > 1 {
								doubled.Add(1)
							}
							if !answered {
								unanswered.Add(1)
							}
						})
					}
				}
				wg.Wait()
				b.ReportMetric(float64(cells.Load()), "bookings")
				b.ReportMetric(float64(doubled.Load()), "doubled")
				b.ReportMetric(float64(unanswered.Load()), "unanswered")
			}
		})
	}
}

// maxInProgress is the number of times that a caller resends a request whose
// claim is in progress.
const maxInProgress = 20

// bookUntilAnswered sends a booking at most three times until it is answered, not counting
// resends while its claim is in progress. It returns how often the booking ran.
func bookUntilAnswered(tc *testCluster) (runs int, answered bool) {
	c, err := net.Dial("tcp", tc.first.url)
	if err != nil {
		tc.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	tc.armed.Store(true)
	if tc.fault.callerLeaves {
		time.AfterFunc(callerWaitLimit, func() { c.Close() })
	}
	r := tc.call(c)
	if tc.fault.callerLeaves {
		tc.expireClaims("r1")
	}
	for again := 0; again < 2 && (r.status != http.StatusOK || r.cut); again++ {
		r = tc.send(tc.second, tc.kind, "order")
		for wait := 0; r.code == "in-progress" && wait < maxInProgress; wait++ {
			time.Sleep(shortTargetTimeout)
			r = tc.send(tc.second, tc.kind, "order")
		}
	}
	tc.waitIdle()
	for _, s := range tc.targets {
		n, _ := s.counts("order", "")
		runs += n
	}
	return runs, r.status == http.StatusOK && !r.cut
}
