package replica

import (
	"container/heap"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// simSender passes messages through the world's network.
type simSender struct {
	from        *simHost
	to          string
	incarnation int
}

func (o *simSender) close() {}

func (o *simSender) enqueue(m *pb.RaftMessage) {
	w := o.from.sim
	if w.r.IntN(100) < w.dropPct {
		return
	}
	delay := time.Duration(w.r.Int64N(int64(3 * time.Millisecond)))
	if w.r.IntN(100) < w.delayPct {
		delay += time.Duration(w.r.Int64N(int64(w.maxDelay)))
	}
	// What a process sends while it freezes leaves once it thaws.
	delay += max(0, o.from.frozenUntil-w.now) + w.slow[[2]string{o.from.addr, o.to}]
	w.deliver(o.from.addr, o.to, m, delay)
	if w.r.IntN(100) < w.duplicatePct {
		w.deliver(o.from.addr, o.to, m, delay+time.Duration(w.r.Int64N(int64(time.Second))))
	}
}

func (w *simulation) deliver(from, to string, m *pb.RaftMessage, delay time.Duration) {
	w.after(delay, func() {
		s := w.host(to)
		if s == nil || w.cut[[2]string{from, to}] {
			return
		}
		if w.now < s.frozenUntil {
			// Kept in the frozen process's socket.
			w.deliver(from, to, m, s.frozenUntil-w.now+time.Millisecond)
			return
		}
		s.runPass(func(n *Node) { n.step(&pb.RaftBatch{Messages: []*pb.RaftMessage{m}, FromAddr: from}) })
	})
}

func (w *simulation) host(addr string) *simHost {
	i := slices.IndexFunc(w.hosts, func(s *simHost) bool { return s.addr == addr })
	if i < 0 {
		return nil
	}
	return w.hosts[i]
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

func (w *simulation) at(t time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, run})
}

func (w *simulation) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// runFor lets the world go on for d.
func (w *simulation) runFor(d time.Duration) { w.runUntil(d, func() bool { return false }) }

// runUntil lets the world go on until done or for d; it returns done's last.
func (w *simulation) runUntil(d time.Duration, done func() bool) bool {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.collectOutcomes()
		if done() {
			return true
		}
	}
	w.now = end
	return done()
}
