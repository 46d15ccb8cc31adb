package bodybuffer

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

const (
	// firstBytes is the size of a body's first buffer if the body is not smaller.
	firstBytes = 4 << 10
	// maxStepBytes bounds the growth of a buffer in one step.
	maxStepBytes = 1 << 20
	// maxWait bounds the wait for memory that closed bodies free.
	maxWait = time.Second
	// logInterval is the minimum time between two log lines.
	logInterval = 10 * time.Second
	// stepRead is the name of this processing step in log lines.
	stepRead = "read"
)

// LimitError reports a body that was closed or refused because of a limit.
type LimitError struct {
	Reason Reason
	// Closed is set if the body was closed and its reads fail. Otherwise there was no memory
	// for it, and no other body could be closed.
	Closed bool
}

// Error implements error.
func (e *LimitError) Error() string {
	if e.Closed {
		return fmt.Sprintf("the body arrived too slowly while a limit of request bodies in memory is reached: %s", e.Reason)
	}
	return fmt.Sprintf("a limit of request bodies in memory is reached: %s", e.Reason)
}

// Pool holds the request bodies of a process. It is safe for concurrent use.
type Pool struct {
	logger *log.Logger

	mu       sync.Mutex
	accounts *accounts
	// interrupts holds the functions that make the reads of unfinished bodies fail.
	interrupts map[*entry]func()
	// freed is closed when memory is returned; nil while no body waits for that.
	freed chan struct{}
	// nextLog is the earliest time of the next log line; unlogged counts the bodies that were
	// closed or refused since the last one.
	nextLog  time.Time
	unlogged int

	held       tally.Gauge
	unfinished tally.Gauge
	scope      tally.Scope
}

// New returns a pool without bodies.
func New(l Limits, logger *log.Logger, scope tally.Scope) *Pool {
	scope = scope.SubScope("bodies")
	return &Pool{
		logger:     logger,
		accounts:   newAccounts(l),
		interrupts: make(map[*entry]func()),
		held:       scope.Gauge("held_bytes"),
		unfinished: scope.Gauge("unfinished"),
		scope:      scope,
	}
}

// Source is a body that arrives.
type Source struct {
	// Owner is the team or customer to whom the memory is charged.
	Owner  string
	Reader io.Reader
	// Size is the announced size in bytes, negative if there is none. Limit is the maximum
	// size in bytes; the reader must fail beyond it.
	Size  int64
	Limit int64
	// Interrupt makes a Read in progress, and later ones, fail. It must not block.
	Interrupt func()
}

// Body is a complete body. Its memory stays charged until Release.
type Body struct {
	Bytes []byte

	pool  *Pool
	entry *entry
	peak  int64
	once  sync.Once
}

// Held returns the memory of all bodies, in bytes.
func (p *Pool) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accounts.total.charged
}

// Read reads a body. It fails with a *LimitError if a limit is reached, otherwise with the
// error of the reader.
func (p *Pool) Read(s Source) (*Body, error) {
	e, err := p.begin(s)
	if err != nil {
		return nil, err
	}
	data, err := p.readAll(s, e)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.interrupts, e)
	if !p.accounts.finish(e) {
		err = &LimitError{Reason: e.reason, Closed: true}
	}
	if err != nil {
		p.end(e)
		return nil, err
	}
	p.report()
	return &Body{Bytes: data, pool: p, entry: e, peak: peakBytes(s.Limit)}, nil
}

func (p *Pool) begin(s Source) (*entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, victim := p.accounts.begin(s.Owner, time.Now())
	if victim != nil {
		p.interrupt(victim)
	}
	if e == nil {
		p.count("refused", ReasonCount)
		return nil, &LimitError{Reason: ReasonCount}
	}
	p.interrupts[e] = s.Interrupt
	p.report()
	return e, nil
}

// readAll reads until the end of the body. The buffer grows only when it is full and a further
// byte has arrived.
func (p *Pool) readAll(s Source, e *entry) ([]byte, error) {
	var data []byte
	// next receives the byte that arrives when the buffer is full, if the body has not ended.
	next := make([]byte, 1)
	for {
		room := data[len(data):cap(data)]
		full := len(room) == 0
		if full {
			room = next
		}
		n, err := s.Reader.Read(room)
		switch {
		case full && n > 0:
			grown, growErr := p.grow(s, e, data)
			if growErr != nil {
				return nil, growErr
			}
			data = append(grown, next[0])
		default:
			data = data[:len(data)+n]
		}
		p.received(e, n)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a larger buffer with the data. Both buffers are charged while it copies.
func (p *Pool) grow(s Source, e *entry, data []byte) ([]byte, error) {
	size := nextSize(int64(cap(data)), s.Size, s.Limit)
	if err := p.acquire(e, size, peakBytes(s.Limit)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	p.giveBack(e, int64(cap(data)))
	return grown, nil
}

// nextSize returns the size of the buffer that replaces one of a given size. It exceeds neither
// the announced size nor the limit, unless the body does.
func nextSize(current, announced, limit int64) int64 {
	next := current + min(max(current/2, firstBytes), maxStepBytes)
	for _, most := range []int64{announced, limit} {
		if most > current {
			next = min(next, most)
		}
	}
	return next
}

// peakBytes returns the most memory that a body of a size needs while its buffer grows.
func peakBytes(size int64) int64 { return 2 * max(size, firstBytes) }

// acquire charges n bytes to a body. If other bodies are closed for that, it waits until they
// have returned their memory.
func (p *Pool) acquire(e *entry, n, peak int64) error {
	var timeout <-chan time.Time
	for {
		freed, err := p.tryAcquire(e, n, peak)
		if err != nil || freed == nil {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(maxWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-freed:
		case <-timeout:
			p.mu.Lock()
			p.count("refused", ReasonMemory)
			p.mu.Unlock()
			return &LimitError{Reason: ReasonMemory}
		}
	}
}

// tryAcquire charges n bytes to a body, or returns a channel that is closed when memory is
// returned.
func (p *Pool) tryAcquire(e *entry, n, peak int64) (freed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, victims, reason := p.accounts.grow(e, n, peak, time.Now())
	for _, victim := range victims {
		p.interrupt(victim)
	}
	switch out {
	case closed:
		return nil, &LimitError{Reason: reason, Closed: true}
	case refused:
		p.count("refused", reason)
		return nil, &LimitError{Reason: reason}
	case pending:
		if p.freed == nil {
			p.freed = make(chan struct{})
		}
		return p.freed, nil
	}
	p.report()
	return nil, nil
}

func (p *Pool) received(e *entry, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.received += int64(n)
}

func (p *Pool) giveBack(e *entry, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accounts.shrink(e, n)
	p.announceFree()
}

// interrupt makes the reads of a closed body fail and wakes the bodies that wait for memory. The
// caller holds mu.
func (p *Pool) interrupt(victim *entry) {
	p.count("closed", victim.reason)
	if f := p.interrupts[victim]; f != nil {
		f()
	}
	p.announceFree()
}

// end closes the account of a body. The caller holds mu.
func (p *Pool) end(e *entry) {
	p.accounts.end(e)
	p.announceFree()
}

// announceFree wakes the bodies that wait for memory. The caller holds mu.
func (p *Pool) announceFree() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
	p.report()
}

// report updates the gauges. The caller holds mu.
func (p *Pool) report() {
	p.held.Update(float64(p.accounts.total.charged))
	p.unfinished.Update(float64(len(p.accounts.unfinished)))
}

// count counts a body that was closed or refused, and logs a line at most every logInterval. The
// caller holds mu.
func (p *Pool) count(name string, reason Reason) {
	p.scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name).Inc(1)
	p.unlogged++
	if now := time.Now(); !now.Before(p.nextLog) {
		p.nextLog = now.Add(logInterval)
		p.logger.Warn().Str("step", stepRead).Str("reason", string(reason)).Int("bodies", p.unlogged).
			Int64("held_bytes", p.accounts.total.charged).Int("unfinished", len(p.accounts.unfinished)).
			Msg("request bodies were closed or refused to stay within the limits")
		p.unlogged = 0
	}
}

// Reserve charges n more bytes, for copies of parts of the body, until Unreserve. An owner who
// holds nothing else gets them even if they exceed the budget. It fails with a *LimitError.
func (b *Body) Reserve(n int64) error {
	return b.pool.acquire(b.entry, n, max(b.peak, int64(cap(b.Bytes))+n))
}

// Unreserve returns n bytes that Reserve charged.
func (b *Body) Unreserve(n int64) { b.pool.giveBack(b.entry, n) }

// Release ends the charge. The bytes must not be used afterwards.
func (b *Body) Release() {
	b.once.Do(func() {
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		b.pool.end(b.entry)
	})
}
