package main

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// TestUpgrade replaces the instances of a fleet one by one, from another build to this
// build and in the reverse direction. It guards against changes of messages, stored data
// or settings that make two builds unable to work together or to read each other's data
// folders. After each step every instance must serve a chat, accept a change and replay a
// filing that ran at the start.
func TestUpgrade(t *testing.T) { testkit.RunUpgrades(t, upgradeFleet) }

func upgradeFleet(t *testing.T, from, to string) {
	f := startFleetOfProgram(t, from, 3, 2)
	f.startTargets(t, 2)
	f.waitReady(t)
	u := &upgradeCheck{fleet: f, filing: &filingState{key: "filing-of-the-old-build"}}
	u.checkFleet(t)
	for _, p := range f.instances {
		p.signal(syscall.SIGTERM)
		if err := p.wait(); err != nil {
			t.Errorf("%s ended with %v", p.id, err)
		}
		p.program = to
		p.start(t)
		u.checkFleet(t)
		u.restartLeader(t)
		u.checkFleet(t)
	}
	// A learner of the old build joins voters of the new build.
	first := f.replicas[0]
	first.program = from
	f.wipeDisk(t, first)
	u.checkFleet(t)
	// A learner of the new build joins a mixed group.
	second := f.replicas[1]
	second.program = to
	f.wipeDisk(t, second)
	u.checkFleet(t)
	f.checkFilings(t, [][]*filingState{{u.filing}})
}

// upgradeCheck checks a fleet between the steps of an upgrade.
type upgradeCheck struct {
	fleet  *processFleet
	filing *filingState
	// revision is the last accepted revision of the contract.
	revision uint64
	// changes is the number of attempted changes.
	changes int
}

// checkFleet checks that every instance serves a chat, accepts a change and replays
// the filing.
func (u *upgradeCheck) checkFleet(t *testing.T) {
	t.Helper()
	f := u.fleet
	for _, p := range f.instances {
		f.eventually(t, p.id+" serves", func() error { return f.chat(t.Context(), p.callerAddr(), "upgrade") })
		f.eventually(t, p.id+" replays the filing", func() error {
			counts := &outcomeCounts{}
			if !f.sendFiling(t, p.callerAddr(), u.filing, counts) {
				return fmt.Errorf("%d replies not-run, %d unknown", counts.notRun.Load(), counts.unknown.Load())
			}
			return nil
		})
		f.eventually(t, p.id+" accepts a change", func() error { return u.changeContract(t, p) })
	}
	f.checkContract(t, u.revision)
}

// changeContract changes the weight of the contract through p.
func (u *upgradeCheck) changeContract(t *testing.T, p *process) error {
	contract := u.fleet.currentContract(t)
	contract.Weight = uint32(u.changes%10 + 1)
	u.changes++
	change := &pb.ConfigChange{
		OperationId: fmt.Sprintf("upgrade-%d", u.changes),
		Operator:    "upgrade",
		Replaces:    contract.Revision,
		Object:      &pb.ConfigChange_Contract{Contract: contract},
	}
	answer, err := u.fleet.applyChange(t.Context(), p, change)
	if err != nil {
		return err
	}
	if answer.Result.Revision <= u.revision {
		t.Errorf("revision %d was accepted after %d", answer.Result.Revision, u.revision)
	}
	u.revision = answer.Result.Revision
	return nil
}

// restartLeader kills the leading replica, so that another one takes over, and restarts
// it with the build that it ran.
func (u *upgradeCheck) restartLeader(t *testing.T) {
	t.Helper()
	leader := u.waitLeader(t)
	leader.kill()
	leader.start(t)
}

// waitLeader waits until a replica leads and returns it.
func (u *upgradeCheck) waitLeader(t *testing.T) *process {
	t.Helper()
	var leader *process
	u.fleet.eventually(t, "a replica is the leader", func() error {
		reply := &pb.QueryReply{}
		if err := u.fleet.adminClient(u.fleet.instances[len(u.fleet.instances)-1]).Get(t.Context(), "/admin/v1/replicas", nil, reply); err != nil {
			return err
		}
		for _, r := range reply.Replicas {
			for _, p := range u.fleet.replicas {
				if r.Leader && p.peerAddr() == r.Addr {
					leader = p
					return nil
				}
			}
		}
		return fmt.Errorf("replicas %v", reply.Replicas)
	})
	return leader
}
