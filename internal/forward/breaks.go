package forward

import (
	"sync"
	"time"
)

// maxBreakAddrs bounds the addresses in a breakLog.
const maxBreakAddrs = 4096

// breakLog holds when a response of each target last broke off visibly: by a reset, or before
// its end as framed. The zero value is empty. It is safe for concurrent use.
type breakLog struct {
	mu sync.Mutex
	at map[string]time.Time
}

// record records that a response from addr broke off now. When the log is full, it is cleared.
func (b *breakLog) record(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at == nil || len(b.at) >= maxBreakAddrs {
		b.at = make(map[string]time.Time)
	}
	b.at[addr] = time.Now()
}

// since reports whether a response from addr broke off at t or later.
func (b *breakLog) since(addr string, t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.at[addr]
	return ok && !at.Before(t)
}
