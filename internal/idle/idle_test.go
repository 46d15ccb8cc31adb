package idle

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConn records whether its read deadline has passed, on which an http.Server closes a
// connection that waits for a request. It can't be closed.
type fakeConn struct {
	net.Conn
	ended bool
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.ended = !t.IsZero() && !t.After(time.Now())
	return nil
}

// transition is a change of a connection's state after a delay.
type transition struct {
	after time.Duration
	state http.ConnState
}

// TestMonitor checks which sequences of connection states end with the connection
// closed.
func TestMonitor(t *testing.T) {
	timeouts := Timeouts{First: 3 * time.Second, Next: 15 * time.Second}
	for name, test := range map[string]struct {
		timeouts Timeouts
		steps    []transition
		after    time.Duration
		closed   bool
	}{
		"silent from the start":            {timeouts, []transition{{0, http.StateNew}}, 4 * time.Second, true},
		"first request in time":            {timeouts, []transition{{0, http.StateNew}, {2 * time.Second, http.StateActive}}, time.Minute, false},
		"idle within the bound":            {timeouts, []transition{{0, http.StateNew}, {0, http.StateActive}, {0, http.StateIdle}}, 14 * time.Second, false},
		"idle too long":                    {timeouts, []transition{{0, http.StateNew}, {0, http.StateActive}, {0, http.StateIdle}}, 16 * time.Second, true},
		"used again in time":               {timeouts, []transition{{0, http.StateIdle}, {14 * time.Second, http.StateActive}, {time.Second, http.StateIdle}}, 14 * time.Second, false},
		"a long answer is no idle time":    {timeouts, []transition{{0, http.StateIdle}, {time.Second, http.StateActive}}, time.Hour, false},
		"no bounds":                        {Timeouts{}, []transition{{0, http.StateNew}, {0, http.StateIdle}}, time.Hour, false},
		"closed by the caller":             {timeouts, []transition{{0, http.StateNew}, {0, http.StateClosed}}, time.Minute, false},
		"used as the wait ends":            {timeouts, []transition{{0, http.StateIdle}, {16 * time.Second, http.StateActive}}, time.Hour, false},
		"idle again after that":            {timeouts, []transition{{0, http.StateIdle}, {16 * time.Second, http.StateActive}, {0, http.StateIdle}}, 16 * time.Second, true},
		"idle twice without a new request": {timeouts, []transition{{0, http.StateIdle}, {10 * time.Second, http.StateIdle}}, 14 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := NewMonitor(func() Timeouts { return test.timeouts })
				c := &fakeConn{}
				for _, s := range test.steps {
					time.Sleep(s.after)
					m.StateChanged(c, s.state)
				}
				time.Sleep(test.after)
				synctest.Wait()
				m.mu.Lock()
				defer m.mu.Unlock()
				if c.ended != test.closed {
					t.Errorf("closed: %t, want %t", c.ended, test.closed)
				}
				for _, open := range m.waits {
					open.timer.Stop()
				}
			})
		})
	}
}

// TestTimeoutsChange checks that a timeout which is shortened while the server runs
// applies to the next wait.
func TestTimeoutsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeout := time.Minute
		m := NewMonitor(func() Timeouts { return Timeouts{Next: timeout} })
		c := &fakeConn{}
		m.StateChanged(c, http.StateIdle)
		timeout = time.Second
		m.StateChanged(c, http.StateActive)
		m.StateChanged(c, http.StateIdle)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		if !c.ended {
			t.Error("the connection stayed open beyond the new timeout")
		}
		for _, open := range m.waits {
			open.timer.Stop()
		}
	})
}
