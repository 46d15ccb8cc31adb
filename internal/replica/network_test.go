package replica

import (
	"container/heap"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// simSender sends messages over the simulated network.
type simSender struct {
	from        *simHost
	to          string
	incarnation int
}

func (s *simSender) close() {}

func (s *simSender) enqueue(m *pb.RaftMessage) {
	sim := s.from.sim
	if sim.r.IntN(100) < sim.dropPct {
		return
	}
	delay := time.Duration(sim.r.Int64N(int64(3 * time.Millisecond)))
	if sim.r.IntN(100) < sim.delayPct {
		delay += time.Duration(sim.r.Int64N(int64(sim.maxDelay)))
	}
	// Messages that a frozen process sends leave when the freeze ends.
	delay += max(0, s.from.frozenUntil-sim.now) + sim.slow[[2]string{s.from.addr, s.to}]
	sim.deliver(s.from.addr, s.to, m, delay)
	if sim.r.IntN(100) < sim.duplicatePct {
		sim.deliver(s.from.addr, s.to, m, delay+time.Duration(sim.r.Int64N(int64(time.Second))))
	}
}

func (sim *simulation) deliver(from, to string, m *pb.RaftMessage, delay time.Duration) {
	sim.after(delay, func() {
		h := sim.host(to)
		if h == nil || sim.cut[[2]string{from, to}] {
			return
		}
		if sim.now < h.frozenUntil {
			// The message waits in the socket buffer of the frozen process.
			sim.deliver(from, to, m, h.frozenUntil-sim.now+time.Millisecond)
			return
		}
		h.runPass(func(n *Node) { n.step(&pb.RaftBatch{Messages: []*pb.RaftMessage{m}, FromAddr: from}) })
	})
}

func (sim *simulation) host(addr string) *simHost {
	i := slices.IndexFunc(sim.hosts, func(h *simHost) bool { return h.addr == addr })
	if i < 0 {
		return nil
	}
	return sim.hosts[i]
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (sim *simulation) at(t time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{t, sim.seq, run})
}

func (sim *simulation) after(d time.Duration, run func()) { sim.at(sim.now+d, run) }

// runFor runs the simulation for d.
func (sim *simulation) runFor(d time.Duration) { sim.runUntil(d, func() bool { return false }) }

// runUntil runs the simulation until done returns true, for d at most. It returns
// the last result of done.
func (sim *simulation) runUntil(d time.Duration, done func() bool) bool {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
		sim.collectOutcomes()
		if done() {
			return true
		}
	}
	sim.now = end
	return done()
}
