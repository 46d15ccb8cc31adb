package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// entryList is the answer to GET /v1/entries.
type entryList struct {
	Entries []struct {
		Addr string `json:"addr"`
	} `json:"entries"`
	TTLMS int64 `json:"ttl_ms"`
}

// rolloutCaller is a caller that asks the fleet which entries to use, keeps the
// answer as long as it may, and asks one of those again.
type rolloutCaller struct {
	fleet   *processFleet
	random  *rand.Rand
	list    entryList
	expires time.Time
}

func (c *rolloutCaller) entry(ctx context.Context) (string, error) {
	if time.Now().Before(c.expires) {
		return c.pick(), nil
	}
	asked := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.pick()+"/v1/entries", nil)
	if err != nil {
		return "", err
	}
	resp, err := c.fleet.http.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var list entryList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK || len(list.Entries) == 0 {
		return "", fmt.Errorf("status %d, %d entries", resp.StatusCode, len(list.Entries))
	}
	c.list = list
	c.expires = asked.Add(time.Duration(list.TTLMS) * time.Millisecond)
	return c.pick(), nil
}

func (c *rolloutCaller) pick() string {
	return c.list.Entries[c.random.IntN(len(c.list.Entries))].Addr
}

// TestRollout restarts every instance gracefully, one after another, while
// well-behaved callers chat over kept connections: none of them may notice.
func TestRollout(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 2)
	f.startTargets(t, 3)
	f.waitReady(t)
	ctx, cancel := context.WithCancel(t.Context())
	var answered atomic.Int64
	var callers sync.WaitGroup
	for i := range 6 {
		c := &rolloutCaller{fleet: f, random: rand.New(rand.NewPCG(1, uint64(i)))}
		for _, p := range f.instances {
			c.list.Entries = append(c.list.Entries, struct {
				Addr string `json:"addr"`
			}{p.callerAddr()})
		}
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				addr, err := c.entry(t.Context())
				if err == nil {
					err = f.chat(t.Context(), addr, fmt.Sprintf("rollout-%d-%d", i, n))
				}
				if err != nil {
					t.Errorf("%s caller %d at %s: %v", time.Now().Format("05.000"), i, addr, err)
					continue
				}
				answered.Add(1)
			}
		})
	}
	for _, p := range f.instances {
		t.Logf("%s end %s %s", time.Now().Format("05.000"), p.id, p.callerAddr())
		p.signal(syscall.SIGTERM)
		if err := p.wait(); err != nil {
			t.Errorf("%s ended with %v", p.id, err)
		}
		t.Logf("%s start %s", time.Now().Format("05.000"), p.id)
		p.start(t)
		f.eventually(t, p.id+" serves again", func() error { return f.chat(t.Context(), p.callerAddr(), "back") })
	}
	cancel()
	callers.Wait()
	t.Logf("%d chats answered during the restarts of %d instances", answered.Load(), len(f.instances))
	if answered.Load() == 0 {
		t.Fatal("nothing was answered")
	}
}
