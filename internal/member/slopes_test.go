package member

import (
	"strings"

	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// BenchmarkSlopes measures control traffic, leases and processor time against the
// numbers of routers and targets, in memory under virtual time:
//
//	go test ./internal/member -run '^$' -bench Slopes -benchtime 1x -timeout 30m
func BenchmarkSlopes(b *testing.B) {
	for _, size := range [][2]int{{9, 15}, {10, 10}, {30, 30}, {100, 100}, {300, 300}, {112, 625}} {
		b.Run(fmt.Sprintf("routers=%d/targets=%d", size[0], size[1]), func(b *testing.B) {
			for range b.N {
				measureSteady(b, size[0], size[1])
			}
		})
	}
}

func measureSteady(b *testing.B, routers, targets int) {
	const measured = 20 * time.Second
	w := newSimulation(0, 1, routers, targets, 3)
	w.shareViews()
	w.run(10 * time.Second)
	var sent, received, most int64
	for _, n := range w.nodes {
		s := n.budget.Stats()
		sent -= s.ControlSent()
		received -= s.ControlReceived()
		n.core.counts = counts{}
	}
	before := make([]int64, len(w.nodes))
	for i, n := range w.nodes {
		before[i] = n.budget.Stats().ControlSent()
	}
	messages := w.messages
	b.ResetTimer()
	ages, unleased := sampleLeases(w, measured)
	b.StopTimer()
	var refused int64
	for i, n := range w.nodes {
		s := n.budget.Stats()
		sent += s.ControlSent()
		received += s.ControlReceived()
		refused += n.core.counts.refused
		most = max(most, s.ControlSent()-before[i])
	}
	seconds := measured.Seconds()
	perRouter := seconds * float64(routers)
	b.ReportMetric(float64(sent)/perRouter, "sent-B/s")
	b.ReportMetric(float64(most)/seconds, "most-B/s")
	b.ReportMetric(float64(received)/perRouter, "received-B/s")
	b.ReportMetric(float64(refused)/perRouter, "refused/s")
	b.ReportMetric(1e6*float64(unleased)/float64(len(ages)+unleased), "lapsed-ppm")
	b.ReportMetric(float64(percentile(ages, 0.50).Milliseconds()), "age-p50-ms")
	b.ReportMetric(float64(percentile(ages, 0.999).Milliseconds()), "age-p99.9-ms")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(w.messages-messages), "us/message")
}

// shareViews gives all nodes the same view, so that the start is not measured.
func (w *simulation) shareViews() {
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			if other != n {
				n.core.mergeRouter(w.now, other.core.self.delta())
			}
		}
		for _, target := range w.targets {
			n.core.mergeTarget(w.now, &pb.TargetDelta{Status: shallowCopy(target.status)}, false)
		}
		n.core.updates = newUpdateQueue()
	}
}

// sampleLeases samples for the given time, at each router, the age of each leased
// target's last proof of life, and counts how often a target had no lease.
func sampleLeases(w *simulation, d time.Duration) (ages []time.Duration, unleased int) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(100 * time.Millisecond)
		for _, n := range w.nodes {
			for _, target := range w.targets {
				e := n.core.targets[target.status.Id]
				if e == nil || !n.core.leased(w.now, e) {
					unleased++
					continue
				}
				ages = append(ages, w.now.Sub(e.lastProof))
			}
		}
	}
	return ages, unleased
}

func percentile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// BenchmarkTimes measures, at 9 routers and 15 targets and within the budget, the time
// until all views agree: after a start of all routers at once, a router that ends
// without leaving, a leaving target, and the end of a partition into two halves.
func BenchmarkTimes(b *testing.B) {
	var start, death, leave, cut []time.Duration
	for i := range b.N {
		w := newSimulation(0, uint64(i), 9, 15, 3)
		start = append(start, timeToAgree(b, w))
		w.run(5 * time.Second)
		w.nodes[i%9].running = false
		death = append(death, timeToAgree(b, w))
		w.run(5 * time.Second)
		w.leave(w.targets[i%15])
		leave = append(leave, timeToAgree(b, w))
		splitInHalves(w)
		w.run(30 * time.Second)
		clear(w.cutLinks)
		cut = append(cut, timeToAgree(b, w))
	}
	for name, times := range map[string][]time.Duration{"start": start, "death": death, "leave": leave, "cut": cut} {
		b.ReportMetric(float64(percentile(times, 0.5).Milliseconds()), name+"-p50-ms")
		b.ReportMetric(float64(percentile(times, 1).Milliseconds()), name+"-max-ms")
	}
}

func timeToAgree(b *testing.B, w *simulation) time.Duration {
	const bound = 60 * time.Second
	for began := w.now; w.now.Sub(began) < bound; {
		w.run(10 * time.Millisecond)
		if w.disagreement() == "" {
			return w.now.Sub(began)
		}
	}
	b.Fatalf("no agreement within %v: %s", bound, w.disagreement())
	return 0
}

func splitInHalves(w *simulation) {
	for _, from := range w.nodes {
		for _, to := range w.nodes {
			if (from.index < 4) != (to.index < 4) {
				w.cutLinks[[2]int{from.index, to.index}] = true
			}
		}
	}
}

// BenchmarkMemory measures the memory per entry of each table in a router.
func BenchmarkMemory(b *testing.B) {
	const entries = 1800
	for range b.N {
		w := newSimulation(0, 1, 1, 0, 1)
		c := w.nodes[0].core
		before := heapBytes()
		for i := range entries {
			status := proto.CloneOf(c.self.status)
			status.Id = fmt.Sprint("other-", i)
			c.mergeRouter(w.now, &pb.RouterDelta{Status: status, Generation: 1})
		}
		withRouters := heapBytes()
		for i := range entries {
			t := w.addTarget(i, 1)
			c.mergeTarget(w.now, &pb.TargetDelta{Status: shallowCopy(t.status)}, false)
			w.targets, w.events = nil, nil
		}
		withTargets := heapBytes()
		b.ReportMetric(float64(withRouters-before)/entries, "B/router")
		b.ReportMetric(float64(withTargets-withRouters)/entries, "B/target")
		runtime.KeepAlive(w)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSteadyBytes measures what a router sends per second in a settled fleet with
// the platform's settings: by kind of message, and to other data centres.
func BenchmarkSteadyBytes(b *testing.B) {
	const settle, length = 8 * time.Second, 3 * time.Second
	for _, size := range []struct{ routers, targets int }{{30, 300}, {100, 1000}, {300, 3000}} {
		b.Run(fmt.Sprintf("routers=%d/targets=%d", size.routers, size.targets), func(b *testing.B) {
			for b.Loop() {
				w := newLargeSimulation(size.routers, size.targets)
				w.run(settle)
				byKind := make(map[pb.GossipKind]int)
				across := 0
				w.onTransmit = func(from *node, p packet) {
					bytes := proto.Size(p.msg) + headerBytes + packetOverheadBytes
					byKind[p.msg.Kind] += bytes
					if to := w.byAddr[p.to]; to != nil && to.status.DataCentre != from.status.DataCentre {
						across += bytes
					}
				}
				w.run(length)
				perRouter := func(bytes int) float64 { return float64(bytes) / length.Seconds() / float64(size.routers) }
				for kind, bytes := range byKind {
					b.ReportMetric(perRouter(bytes), strings.TrimPrefix(kind.String(), "GOSSIP_KIND_")+"-B/s")
				}
				b.ReportMetric(perRouter(across), "across-B/s")
			}
		})
	}
}
