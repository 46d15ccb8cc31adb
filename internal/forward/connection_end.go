package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// announceTimeout bounds the wait for an announcement of the target after the end of a
	// response: two of them, and the time in which they reach this router. announcePoll is
	// the time between two checks.
	announceTimeout = 3 * time.Second
	announcePoll    = 25 * time.Millisecond
	// arrivalWait is the duration of a read from which on its data arrived during the read
	// and had not been buffered.
	arrivalWait = 5 * time.Millisecond
)

var (
	// errReplaced means that the process that sent a response ended before the response did.
	errReplaced = errors.New("the connection ended and another process has taken the target's place")
	// errNotHeard means that nothing shows that the process outlived its response.
	errNotHeard = errors.New("the connection ended, as did another one, and the target does not announce itself")
)

// Life is what the caller of Do knows of the process of a target that serves a request.
type Life struct {
	// Leaves is set if the process is known to leave or to have left as planned.
	Leaves bool
	// Replaced is set if a process that started later is known at the target's address.
	Replaced bool
	// HeardAt is when the process last announced itself; zero if that is not known.
	HeardAt time.Time
	// Overdue is set if the process has not announced itself for longer than usual.
	Overdue bool
}

// connectionEnd decides whether the end of a connection is that of the response without framing
// that it carries. A crash of the target closes the connection as well, so the response is
// complete only if the process that sent it lives on, or has left as planned.
type connectionEnd struct {
	client  *Client
	request *Request
	// sentAt is when the request was sent, arrivedAt when data of the response last arrived
	// while this process waited for it.
	sentAt    time.Time
	arrivedAt time.Time

	mu sync.Mutex
	// witness is nil until there is one, and after release.
	witness  *witness
	released bool
}

// recordRead records a read of the body that began at began and returned n bytes. A response that
// takes its time gets a witness.
func (e *connectionEnd) recordRead(began time.Time, n int) {
	now := time.Now()
	if n == 0 || now.Sub(began) < arrivalWait {
		return
	}
	e.arrivedAt = now
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.witness == nil && !e.released {
		e.witness = e.client.witnesses.acquire(e.request.Addr)
	}
}

// release gives the witness back. It may be called more than once, and during a read.
func (e *connectionEnd) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.client.witnesses.release(e.witness)
	e.witness, e.released = nil, true
}

// proven reports whether the witness proves that the process lives.
func (e *connectionEnd) proven() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.witness.proves(e.sentAt, e.arrivedAt)
}

// witnessEnded reports whether the witness ended when the process may have.
func (e *connectionEnd) witnessEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.witness.endedDuring(e.sentAt, e.arrivedAt)
}

// confirm returns an error if the connection was ended by a crash of the target. It must be
// called when the end was read.
func (e *connectionEnd) confirm(ctx context.Context) error {
	ended := time.Now()
	c := e.client
	if e.witnessed() {
		c.witnessed.Inc(1)
		return nil
	}
	err := c.probe(ctx, e.request.Addr)
	life := e.request.life()
	switch {
	case life.Leaves:
		return e.confirmLeaving(err, ended)
	case err != nil:
		return err
	default:
		return e.confirmProcess(ctx, life, ended)
	}
}

// witnessed reports whether the witness proves that the process lives. The end of the witness
// may be noticed a little later than that of the response.
func (e *connectionEnd) witnessed() bool {
	if !e.proven() {
		return false
	}
	time.Sleep(probeReset)
	return e.proven()
}

// confirmLeaving decides on the end of a response of a target that leaves. probeErr is the
// result of the probe. A target that leaves as planned refuses new connections, as a crashed one
// does; only the other connections that its crash would have broken off tell the two apart.
func (e *connectionEnd) confirmLeaving(probeErr error, ended time.Time) error {
	if !errors.Is(probeErr, errRefused) {
		return probeErr
	}
	if e.client.othersBroke(e.request.Addr, ended) {
		return fmt.Errorf("other responses of the leaving target broke off at the same time: %w", probeErr)
	}
	e.client.leftTargets.Inc(1)
	return nil
}

// confirmProcess decides on the end of a response whose target accepts connections and of whose
// process life is known. If there are signs that another process accepts them, it waits for the
// next announcement.
func (e *connectionEnd) confirmProcess(ctx context.Context, life Life, ended time.Time) error {
	witnessEnded := e.witnessEnded()
	if life.Replaced || !life.Overdue && !witnessEnded || life.HeardAt.IsZero() {
		return life.confirm()
	}
	e.client.awaited.Inc(1)
	for limit := announceLimit(ctx); time.Since(ended) < limit; {
		time.Sleep(announcePoll)
		life = e.request.life()
		switch {
		case context.Cause(ctx) != nil:
			return context.Cause(ctx)
		case life.Replaced, life.Leaves, life.HeardAt.Sub(ended) > crashSpread:
			return life.confirm()
		}
	}
	if witnessEnded {
		return errNotHeard
	}
	return nil
}

// announceLimit returns how long to wait for an announcement: no longer than half of the time that
// is left, so that a complete response still reaches its caller.
func announceLimit(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return announceTimeout
	}
	return min(announceTimeout, time.Until(deadline)/2)
}

// confirm returns an error if the process is known to have ended.
func (l Life) confirm() error {
	if l.Replaced {
		return errReplaced
	}
	return nil
}
