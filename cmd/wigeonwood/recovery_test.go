package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// recoveryTimeout is how long an instance that came back may take until it
// serves again: a lease, an announcement and a round of membership.
const recoveryTimeout = 5 * time.Second

const freezeDuration = 5 * time.Second

// TestRecovery measures the time until an instance serves chats again after a
// restart and after a freeze, and until others do when a peer froze.
func TestRecovery(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 3)
	f.startTargets(t, 3)
	f.waitReady(t)
	for _, p := range f.instances {
		p.kill()
		p.start(t)
		f.checkRecovery(t, p, "restart")
	}
	for _, p := range f.instances {
		p.signal(syscall.SIGSTOP)
		frozen := time.Now()
		failures := 0
		for time.Since(frozen) < freezeDuration {
			for _, other := range f.instances {
				if other == p {
					continue
				}
				if err := f.chat(t.Context(), other.callerAddr(), "meanwhile"); err != nil {
					failures++
					t.Logf("%s after %v of the freeze of %s: %v", other.id, time.Since(frozen).Round(10*time.Millisecond), p.id, err)
				}
			}
			time.Sleep(pollInterval)
		}
		p.signal(syscall.SIGCONT)
		f.checkRecovery(t, p, "its freeze")
		for _, other := range f.instances {
			f.checkRecovery(t, other, "a freeze of "+p.id)
		}
	}
}

func (f *processFleet) checkRecovery(t *testing.T, p *process, fault string) {
	t.Helper()
	started := time.Now()
	n := 0
	f.eventually(t, p.id+" serves after "+fault, func() error {
		n++
		return f.chat(t.Context(), p.callerAddr(), fmt.Sprint("again-", n))
	})
	took := time.Since(started)
	if took > time.Second {
		t.Logf("%s served %v after %s", p.id, took.Round(10*time.Millisecond), fault)
	}
	if took > recoveryTimeout {
		t.Errorf("%s served only %v after %s", p.id, took.Round(time.Millisecond), fault)
	}
}
