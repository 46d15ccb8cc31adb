package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/journal/journaltest"
)

const (
	// catchUpTime is how long a replica counts as lost after it has started with an empty
	// directory. Until then the loss of its directory is one of those that are tolerated.
	catchUpTime = 4 * time.Second
	// darkDialTime is what a join request to an address that does not answer costs.
	darkDialTime = 1 * time.Second
	// serveAgainTime bounds the time from the return of all hosts to the first read.
	serveAgainTime = 12 * time.Second
)

// joinOpen sends join requests as joinWhileNotMember does with open admission: while the
// replica is no member, or knows no leader.
func (h *simHost) joinOpen(incarnation int) {
	pause := joinInterval
	voter, learner := h.node.memberState(h.node.id)
	if !voter && !learner || h.node.leaderless() {
		to := h.sim.hosts[h.sim.r.IntN(len(h.sim.hosts))]
		self := h.node.selfMember()
		switch {
		case to == h:
		case to.node == nil || h.sim.cut[[2]string{h.addr, to.addr}]:
			pause += darkDialTime
		default:
			h.sim.after(time.Millisecond, func() {
				leader := to.leaderOrSelf()
				if h.node == nil || h.node.id != self.Id || h.sim.cut[[2]string{h.addr, leader.addr}] {
					return
				}
				// The leader asks for the identity first. The replica may be gone when
				// the entry is proposed.
				h.sim.after(2*time.Millisecond, func() {
					leader.change(func(n *Node) membershipEdit { return admitEdit(self, n.currentStatus().Committed, true) })
				})
			})
		}
	}
	h.sim.after(pause, func() { h.join(incarnation) })
}

// powerDay is a random history of replaced, emptied, stopped and disconnected replicas that
// ends with the loss of as many directories as are tolerated, while all other hosts lose
// power.
type powerDay struct {
	*simulation
	r        *rand.Rand
	founding []*simHost
	// tolerated is the number of directories that may be lost at the same time.
	tolerated int
	// lostUntil holds, for each lost directory, the time until which it counts as lost.
	// It is zero while the replica or its successor is not back.
	lostUntil map[*simHost]time.Duration
	// gone holds the hosts that were removed for good.
	gone map[*simHost]bool
	// busy counts the faults in progress, and calmSince is when the last one ended.
	busy      int
	calmSince time.Duration
	// quiet ends the load.
	quiet  bool
	events []string
	counts map[string]int
}

func newPowerDay(seed uint64, replicas, tolerated int) *powerDay {
	d := &powerDay{
		simulation: newSimulationOf(replicas, seed),
		r:          rand.New(rand.NewPCG(seed, 47)),
		tolerated:  tolerated,
		lostUntil:  make(map[*simHost]time.Duration),
		gone:       make(map[*simHost]bool),
		counts:     make(map[string]int),
	}
	d.hosts = d.founders()
	d.founding = slices.Clone(d.hosts)
	d.open = true
	for _, h := range d.hosts {
		h.node.cfg.OpenAdmission = true
	}
	return d
}

func (d *powerDay) record(kind, format string, args ...any) {
	d.counts[kind]++
	d.events = append(d.events, fmt.Sprintf("%v %s ", d.now.Round(time.Millisecond), kind)+fmt.Sprintf(format, args...))
}

// live returns the hosts that were not removed.
func (d *powerDay) live() []*simHost {
	return slices.DeleteFunc(slices.Clone(d.hosts), func(h *simHost) bool { return d.gone[h] })
}

// disksLost counts the directories that count as lost. A replica that came back while other
// faults went on counts as lost until catchUpTime after their end.
func (d *powerDay) disksLost() int {
	n := 0
	for _, until := range d.lostUntil {
		if until == 0 || d.now < until || d.busy > 0 || d.now < d.calmSince+catchUpTime {
			n++
		}
	}
	return n
}

func (d *powerDay) begin() { d.busy++ }

func (d *powerDay) end() {
	d.busy--
	d.calmSince = d.now
}

// between returns a random duration.
func (d *powerDay) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.r.Int64N(int64(to-from)))
}

// pick returns a random live host that runs, in half of the calls the leader.
func (d *powerDay) pick() *simHost {
	if leader := d.leader(); leader != nil && d.r.IntN(2) == 0 {
		return leader
	}
	up := slices.DeleteFunc(d.live(), func(h *simHost) bool { return h.node == nil })
	if len(up) == 0 {
		return nil
	}
	return up[d.r.IntN(len(up))]
}

func (d *powerDay) crashMode() journaltest.Crash {
	return []journaltest.Crash{journaltest.LoseUnsynced, journaltest.LoseUnsynced, journaltest.Reorder, journaltest.TearTail}[d.r.IntN(4)]
}

// fault starts one random fault that keeps the number of lost directories within bounds.
func (d *powerDay) fault() {
	h := d.pick()
	if h == nil {
		return
	}
	mayLoseDisk := d.disksLost() < d.tolerated
	switch d.r.IntN(7) {
	case 0, 1:
		if mayLoseDisk {
			d.replace(h)
		}
	case 2:
		if mayLoseDisk {
			d.empty(h)
		}
	case 3:
		d.record("power", "%s", h.addr)
		d.powerLoss([]*simHost{h}, d.between(200*time.Millisecond, 3*time.Second))
	case 4:
		d.record("freeze", "%s", h.addr)
		h.frozenUntil = d.now + d.between(time.Second, 4*time.Second)
		d.begin()
		d.at(h.frozenUntil, d.end)
	case 5:
		d.split()
	case 6:
		if d.r.IntN(3) == 0 {
			d.record("power of all", "")
			d.powerLoss(d.live(), d.between(200*time.Millisecond, 2*time.Second))
		}
	}
}

// replace removes a host for good and starts a successor at a new address.
func (d *powerDay) replace(h *simHost) {
	d.record("replace", "%s", h.addr)
	d.lostUntil[h] = 0
	d.gone[h] = true
	h.loseDisk()
	next := d.addHost()
	d.after(d.between(100*time.Millisecond, 2*time.Second), func() {
		next.start()
		d.lostUntil[h] = d.now + catchUpTime
	})
}

// empty removes a host's directory and starts its replica again.
func (d *powerDay) empty(h *simHost) {
	d.record("empty", "%s", h.addr)
	d.lostUntil[h] = 0
	h.loseDisk()
	d.after(d.between(100*time.Millisecond, 2*time.Second), func() {
		h.start()
		d.lostUntil[h] = d.now + catchUpTime
	})
}

// powerLoss stops hosts at the same moment and starts them again later, within 0.3 s of each
// other.
func (d *powerDay) powerLoss(hosts []*simHost, off time.Duration) {
	d.begin()
	for _, h := range hosts {
		if h.node == nil {
			continue
		}
		h.crash(d.crashMode())
		d.after(off+d.between(0, 300*time.Millisecond), func() {
			if !d.gone[h] {
				h.start()
			}
		})
	}
	d.after(off+300*time.Millisecond, d.end)
}

// split cuts the hosts into two halves for a while.
func (d *powerDay) split() {
	hosts := d.live()
	d.r.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	half := hosts[:1+d.r.IntN(len(hosts)/2)]
	d.record("split", "%d of %d", len(half), len(hosts))
	for _, a := range half {
		for _, b := range hosts[len(half):] {
			cutLink(d.simulation, a, b)
		}
	}
	d.begin()
	d.after(d.between(time.Second, 5*time.Second), func() {
		clear(d.cut)
		d.end()
	})
}

// loseAtSync lets the host's power fail between its next write to the log and the sync of that
// write, or after 20 ms.
func (h *simHost) loseAtSync(mode journaltest.Crash) {
	incarnation := h.incarnation
	h.fs.Hook = func(op journaltest.Op, name string) error {
		if op == journaltest.OpSync && strings.HasPrefix(name, "log-") {
			h.kill(func() { h.crash(mode) })
		}
		return nil
	}
	h.sim.after(20*time.Millisecond, func() {
		if h.incarnation == incarnation {
			h.crash(mode)
		}
	})
}

// finalFault empties as many directories as are tolerated, those that hold the last
// acknowledged command first or at random, while all other hosts lose power.
func (d *powerDay) finalFault() {
	hosts := slices.DeleteFunc(d.live(), func(h *simHost) bool { return h.node == nil })
	d.r.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	if d.r.IntN(3) > 0 {
		committed := func(h *simHost) uint64 { return h.node.currentStatus().Committed }
		slices.SortStableFunc(hosts, func(a, b *simHost) int { return int(committed(b)) - int(committed(a)) })
	}
	emptied := max(0, d.tolerated-d.disksLost())
	d.record("final", "%d directories lost of %d hosts, leader %v", emptied, len(hosts), d.leader() != nil)
	// The emptied ones return before, with or after the others.
	early := d.between(-2*time.Second, 2*time.Second)
	dark := d.between(2500*time.Millisecond, 4*time.Second)
	back := func(h *simHost, off time.Duration) {
		d.after(off+d.between(0, 300*time.Millisecond), func() {
			h.start()
			if _, lost := d.lostUntil[h]; lost {
				d.lostUntil[h] = d.now + catchUpTime
			}
		})
	}
	unsynced := d.r.IntN(2) == 0
	if leader := d.leader(); leader != nil && unsynced {
		// A command is on its way to the followers.
		d.propose(leader)
	}
	for i, h := range hosts {
		h.frozenUntil = 0
		if i < emptied {
			d.lostUntil[h] = 0
			h.loseDisk()
			back(h, dark+early)
			continue
		}
		mode := d.crashMode()
		if unsynced {
			h.loseAtSync(mode)
		} else {
			h.crash(mode)
		}
		back(h, dark)
	}
}

// complete reports whether the replicas have converged and the members are the live hosts.
func (d *powerDay) complete() bool {
	leader := d.leader()
	if leader == nil || !d.converged() {
		return false
	}
	return len(leader.node.currentStatus().membership.Members) == len(d.live())
}

// loadStep is the interval at which load checks whether it has to stop.
const loadStep = 100 * time.Millisecond

// load proposes commands and reads until the day is quiet.
func (d *powerDay) load() {
	if !d.quiet {
		d.generateLoad(d.now + loadStep)
		d.after(loadStep, d.load)
	}
}

// play runs a random day and checks its end.
func (d *powerDay) play(faults int) {
	const dayTime = 14 * time.Second
	d.awaitLeader()
	for range faults {
		d.after(d.between(0, dayTime), d.fault)
	}
	d.runFor(d.between(dayTime/2, dayTime+3*time.Second))
	d.awaitMoment()
	d.finish()
}

// awaitLeader starts the load once there is a leader.
func (d *powerDay) awaitLeader() {
	d.runUntil(10*time.Second, func() bool { return d.leader() != nil })
	d.load()
}

// finish ends the day with the final fault, shortly after an acknowledgement, and checks that
// the cluster serves again and has lost nothing.
func (d *powerDay) finish() {
	d.runFor(d.between(5*time.Millisecond, 400*time.Millisecond))
	d.finalFault()
	// By then the last host has power again, and all faults of the day have ended.
	d.runFor(7 * time.Second)
	for _, h := range d.live() {
		h.frozenUntil = 0
		h.start()
	}
	acked := slices.Clone(d.acked)
	if !d.runUntil(serveAgainTime, func() bool { return d.leader() != nil }) {
		failf("nobody leads %v after all are back: %s", serveAgainTime, d.describe())
	}
	leader := d.leader()
	held := leader.machine.items()
	for _, command := range acked {
		if !slices.Contains(held, command) {
			failf("%q was acknowledged, and the leader %s does not hold it", command, leader.addr)
		}
	}
	d.quiet = true
	if !d.runUntil(recoveryTime, d.complete) {
		failf("the members are not the hosts that exist: %s", d.describe())
	}
	for _, h := range d.live() {
		d.checkAcked(h)
	}
}

// awaitMoment waits for the moment before the final fault: an acknowledgement, in two of
// three days the first one after a change of the membership that follows a replacement or the
// loss of a directory.
func (d *powerDay) awaitMoment() {
	const most = 6 * time.Second
	if d.r.IntN(3) > 0 {
		if h := d.pick(); h != nil && d.disksLost() < d.tolerated {
			if d.r.IntN(3) > 0 {
				d.replace(h)
			} else {
				d.empty(h)
			}
		}
		before := d.membershipIndex()
		for range 1 + d.r.IntN(3) {
			// The changes are an admission, a promotion and a removal.
			if d.runUntil(most, func() bool { return d.membershipIndex() > before }) {
				before = d.membershipIndex()
				d.counts["change of members before the final fault"]++
			}
		}
	}
	d.awaitAcknowledgement()
}

// awaitAcknowledgement waits until one more command is acknowledged.
func (d *powerDay) awaitAcknowledgement() {
	const most = 6 * time.Second
	acked := len(d.acked)
	if d.runUntil(most, func() bool { return len(d.acked) > acked }) {
		d.counts["final fault after an acknowledgement"]++
	}
}

// membershipIndex returns the log index of the leader's membership, zero without a leader.
func (d *powerDay) membershipIndex() uint64 {
	if leader := d.leader(); leader != nil {
		return leader.node.core.MembershipIndex()
	}
	return 0
}

// check runs part of a day. If a property is violated, it adds the events of the day to the
// message.
func (d *powerDay) check(run func()) {
	defer func() {
		if p := recover(); p != nil {
			panic(fmt.Sprintf("%v\n%s", p, strings.Join(d.events, "\n")))
		}
	}()
	run()
}

// TestDisksLostWhileAllOthersLosePower guards against the loss of an acknowledged command, and
// against a cluster that serves no more, when as many directories are lost as are tolerated at
// the moment at which all other hosts lose power, after replicas were replaced, emptied,
// stopped and cut off.
func TestDisksLostWhileAllOthersLosePower(t *testing.T) {
	counts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		d := newPowerDay(rapid.Uint64().Draw(rt, "seed"), 5, 1)
		if rapid.Bool().Draw(rt, "nine") {
			d = newPowerDay(rapid.Uint64().Draw(rt, "seed"), 9, 2)
		}
		faults := rapid.IntRange(0, 12).Draw(rt, "faults")
		d.check(func() { d.play(faults) })
		for name, n := range d.counts {
			counts[name] += n
		}
		counts[fmt.Sprintf("days of %d replicas", len(d.founding))]++
		counts["acknowledged commands"] += len(d.acked)
	})
	t.Log(counts)
}

// TestDiskLostAroundTheRemovalOfAVoter loses a disk, and the power of all other hosts, at
// moments before, at and after the removal of a voter that was replaced, or that counts as
// replaced although it is only cut off. It guards against a membership whose quorum counts a
// voter that is gone, or forgets one that holds what was acknowledged.
func TestDiskLostAroundTheRemovalOfAVoter(t *testing.T) {
	const (
		latest = 3500 * time.Millisecond
		step   = 125 * time.Millisecond
	)
	for _, c := range []struct {
		name                string
		replicas, tolerated int
		lose                func(d *powerDay, h *simHost)
	}{
		{"replaced", 9, 2, (*powerDay).replace},
		{"cut off", 5, 1, func(d *powerDay, h *simHost) {
			d.begin()
			cutFor(d.simulation, h, true, true, latest+time.Second)
			d.after(latest+time.Second, d.end)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			member, removed := 0, 0
			for at := time.Duration(0); at <= latest; at += step {
				d := newPowerDay(uint64(at/step), c.replicas, c.tolerated)
				d.check(func() {
					d.awaitLeader()
					// The additional replica counts as the successor of the voter
					// that is cut off.
					d.addHost().start()
					if !d.runUntil(recoveryTime, func() bool { return d.voters() == c.replicas+1 }) {
						failf("the additional replica is no voter: %s", d.describe())
					}
					h := d.leader()
					if at/step%2 == 0 {
						h = d.follower()
					}
					id := h.node.id
					c.lose(d, h)
					d.runFor(at)
					d.awaitAcknowledgement()
					leader := d.leader()
					if leader != nil && consensus.FindMember(leader.node.currentStatus().membership, id) == nil {
						removed++
					} else {
						member++
					}
					d.finish()
				})
			}
			t.Logf("the voter was a member at %d of the moments and removed at %d", member, removed)
			if member == 0 || removed == 0 {
				t.Fatal("the moments are not both before and after the removal")
			}
		})
	}
}

// voters returns the number of voters in the leader's membership, zero without a leader.
func (d *powerDay) voters() int {
	leader := d.leader()
	if leader == nil {
		return 0
	}
	n := 0
	for _, m := range leader.node.currentStatus().membership.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}
