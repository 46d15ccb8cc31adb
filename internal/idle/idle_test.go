package idle

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConn tells whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// transition is a change of state after a time.
type transition struct {
	after time.Duration
	state http.ConnState
}

func TestWatch(t *testing.T) {
	bounds := Timeouts{First: 3 * time.Second, Next: 15 * time.Second}
	for name, test := range map[string]struct {
		bounds Timeouts
		steps  []transition
		after  time.Duration
		closed bool
	}{
		"silent from the start":            {bounds, []transition{{0, http.StateNew}}, 4 * time.Second, true},
		"first request in time":            {bounds, []transition{{0, http.StateNew}, {2 * time.Second, http.StateActive}}, time.Minute, false},
		"idle within the bound":            {bounds, []transition{{0, http.StateNew}, {0, http.StateActive}, {0, http.StateIdle}}, 14 * time.Second, false},
		"idle too long":                    {bounds, []transition{{0, http.StateNew}, {0, http.StateActive}, {0, http.StateIdle}}, 16 * time.Second, true},
		"used again in time":               {bounds, []transition{{0, http.StateIdle}, {14 * time.Second, http.StateActive}, {time.Second, http.StateIdle}}, 14 * time.Second, false},
		"a long answer is no idle time":    {bounds, []transition{{0, http.StateIdle}, {time.Second, http.StateActive}}, time.Hour, false},
		"no bounds":                        {Timeouts{}, []transition{{0, http.StateNew}, {0, http.StateIdle}}, time.Hour, false},
		"closed by the caller":             {bounds, []transition{{0, http.StateNew}, {0, http.StateClosed}}, time.Minute, false},
		"idle twice without a new request": {bounds, []transition{{0, http.StateIdle}, {10 * time.Second, http.StateIdle}}, 14 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewMonitor(func() Timeouts { return test.bounds })
				c := &fakeConn{}
				for _, s := range test.steps {
					time.Sleep(s.after)
					w.StateChanged(c, s.state)
				}
				time.Sleep(test.after)
				synctest.Wait()
				w.mu.Lock()
				defer w.mu.Unlock()
				if c.closed != test.closed {
					t.Errorf("closed: %t, want %t", c.closed, test.closed)
				}
				for _, open := range w.waits {
					open.timer.Stop()
				}
			})
		})
	}
}

// TestBoundsChange has the bound shrink while the server runs: the next wait
// keeps to the new one.
func TestBoundsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bound := time.Minute
		w := NewMonitor(func() Timeouts { return Timeouts{Next: bound} })
		c := &fakeConn{}
		w.StateChanged(c, http.StateIdle)
		bound = time.Second
		w.StateChanged(c, http.StateActive)
		w.StateChanged(c, http.StateIdle)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		if !c.closed {
			t.Error("the connection stayed open past the new bound")
		}
	})
}
