package forward

import (
	"context"
	"sync"
	"time"
)

// witnessRetry is the time after which a witness that has ended is opened again.
const witnessRetry = time.Second

// witness is a connection to a target's address that carries no request. Its end is that of the
// process that accepted it, so that process lives as long as the witness is open. All responses
// without framing from one address share a witness.
type witness struct {
	addr string
	stop context.CancelFunc
	// users is guarded by witnesses.mu.
	users int

	mu sync.Mutex
	// openedAt is zero while the witness is not open. endedAt is when it last ended; zero if
	// it never has.
	openedAt time.Time
	endedAt  time.Time
}

// proves reports whether the process that runs a request lives: the witness was open before the
// request was sent, or before data of its response arrived. sentAt and arrivedAt are the times
// of both.
func (w *witness) proves(sentAt, arrivedAt time.Time) bool {
	if w == nil || w.endedDuring(sentAt, arrivedAt) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.openedAt.IsZero() && (w.openedAt.Before(sentAt) || arrivedAt.Sub(w.openedAt) > crashSpread)
}

// endedDuring reports whether the witness ended after the request was sent, and no data of the
// response arrived later: the process that sent it may have ended.
func (w *witness) endedDuring(sentAt, arrivedAt time.Time) bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endedAt.After(sentAt) && arrivedAt.Sub(w.endedAt) <= crashSpread
}

// keepOpen opens the witness, and opens it again after each end, until ctx ends.
func (w *witness) keepOpen(ctx context.Context, dial dialFunc) {
	for ctx.Err() == nil {
		w.holdOpen(ctx, dial)
		select {
		case <-ctx.Done():
		case <-time.After(witnessRetry):
		}
	}
}

// holdOpen opens the witness and waits for its end. A connection that ends at once does not
// count: a target at its connection limit resets it.
func (w *witness) holdOpen(ctx context.Context, dial dialFunc) {
	conn, err := dial(ctx, "tcp", w.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if awaitReset(conn) != nil {
		return
	}
	w.opened()
	if conn.SetReadDeadline(time.Time{}) == nil {
		_, _ = conn.Read(make([]byte, 1))
	}
	w.ended()
}

func (w *witness) opened() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openedAt = time.Now()
}

func (w *witness) ended() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openedAt, w.endedAt = time.Time{}, time.Now()
}

// witnesses holds a witness for each address that needs one. It is safe for concurrent use.
type witnesses struct {
	dial dialFunc
	// ctx ends with the Client.
	ctx context.Context

	mu     sync.Mutex
	byAddr map[string]*witness
}

func newWitnesses(ctx context.Context, dial dialFunc) *witnesses {
	return &witnesses{dial: dial, ctx: ctx, byAddr: make(map[string]*witness)}
}

// existing returns the witness for addr, nil if there is none. release must be called for it.
func (ws *witnesses) existing(addr string) *witness {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.byAddr[addr].addUser()
}

// acquire returns the witness for addr, which it opens in the background if there is none.
// release must be called for it.
func (ws *witnesses) acquire(addr string) *witness {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w := ws.byAddr[addr]; w != nil {
		return w.addUser()
	}
	ctx, cancel := context.WithCancel(ws.ctx)
	w := &witness{addr: addr, stop: cancel}
	ws.byAddr[addr] = w
	go w.keepOpen(ctx, ws.dial)
	return w.addUser()
}

// addUser counts one more user and returns the witness, which may be nil. witnesses.mu is held.
func (w *witness) addUser() *witness {
	if w != nil {
		w.users++
	}
	return w
}

// release gives back a witness, which may be nil, and closes it if it has no other user.
func (ws *witnesses) release(w *witness) {
	if w == nil {
		return
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w.users--
	if w.users == 0 {
		delete(ws.byAddr, w.addr)
		w.stop()
	}
}
