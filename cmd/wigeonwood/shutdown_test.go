package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// shutdownTimeout is how long an instance may take to end: the time in which
// others may still list it, that in which callers keep its address, and the
// longest request of the test.
const shutdownTimeout = 30 * time.Second

// shutdownCaller is a caller that asks for entries, keeps the answer for its time and
// connects to what it was told.
type shutdownCaller struct {
	fleet       *processFleet
	entrySource string
	client      *http.Client
	body        string

	entries []string
	expires time.Time
	sent    int
}

// entry returns an address that may still be kept.
func (k *shutdownCaller) entry() (string, error) {
	if time.Now().Before(k.expires) {
		k.sent++
		return k.entries[k.sent%len(k.entries)], nil
	}
	asked := time.Now()
	resp, err := k.fleet.http.Get("http://" + k.entrySource + "/v1/entries")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var answer struct {
		Entries []struct {
			Addr string `json:"addr"`
		} `json:"entries"`
		TTLMs int `json:"ttl_ms"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || len(answer.Entries) == 0 {
		return "", fmt.Errorf("entries: status %d, %v", resp.StatusCode, err)
	}
	k.entries = k.entries[:0]
	for _, e := range answer.Entries {
		k.entries = append(k.entries, e.Addr)
	}
	k.expires = asked.Add(time.Duration(answer.TTLMs) * time.Millisecond)
	return k.entry()
}

// sendOnce sends one request to a kept address. A refusal is no failure if it is
// true; a connection refused or an answer cut is.
func (k *shutdownCaller) sendOnce(refused *atomic.Int64) error {
	addr, err := k.entry()
	if err != nil {
		return err
	}
	path := "/v1/chat/completions"
	if k.body == "" {
		path = "/v1/services/" + testService + "/filings"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(k.body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	// Without GetBody the test's own client hides no failure by sending again.
	req.GetBody = nil
	resp, err := k.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("answer of %s: %w", addr, err)
	}
	if resp.Header.Get("X-Wigeonwood-Outcome") == "not-run" {
		refused.Add(1)
		return nil
	}
	whole := k.body == "" || strings.HasSuffix(strings.TrimSpace(string(raw)), "data: [DONE]")
	if resp.StatusCode >= 300 || !whole {
		return fmt.Errorf("%s answered %d: %.200s", addr, resp.StatusCode, raw)
	}
	return nil
}

func streamedChat(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"go on"}]}`, testModel, tokens)
}

// TestShutdown stops a router and then a control replica with SIGTERM, under
// short, long and non-idempotent requests of callers that keep addresses and
// connections: none is cut off, no connection refused.
func TestShutdown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 2)
	f.startTargets(t, 3)
	f.waitReady(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	var answered, refused atomic.Int64
	for _, body := range []string{streamedChat(5), streamedChat(600), ""} {
		for _, kept := range []bool{false, true} {
			k := &shutdownCaller{fleet: f, entrySource: f.instances[0].callerAddr(), body: body}
			k.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: !kept}}
			callers.Go(func() {
				defer k.client.CloseIdleConnections()
				for ctx.Err() == nil {
					if err := k.sendOnce(&refused); err != nil {
						t.Errorf("body %.60q, connections kept %v: %v", body, kept, err)
					}
					answered.Add(1)
					sleep(ctx, 20*time.Millisecond)
				}
			})
		}
	}
	for _, p := range []*process{f.instances[4], f.instances[2]} {
		sleep(ctx, time.Second)
		before := answered.Load()
		f.stopGracefully(t, p)
		t.Logf("%s stopped; %d requests meanwhile, %d refused as not run so far", p.id, answered.Load()-before, refused.Load())
	}
	cancel()
	callers.Wait()
	if answered.Load() == 0 || refused.Load() > answered.Load()/10 {
		t.Errorf("%d requests, %d refused", answered.Load(), refused.Load())
	}
}

// stopGracefully ends p with SIGTERM and waits until it has ended by itself.
func (f *processFleet) stopGracefully(t *testing.T, p *process) {
	t.Helper()
	started := time.Now()
	ended := make(chan error, 1)
	p.signal(syscall.SIGTERM)
	go func() { ended <- p.wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("%s ended with %v", p.id, err)
		}
		t.Logf("%s ended after %v", p.id, time.Since(started).Round(time.Millisecond))
	case <-time.After(shutdownTimeout):
		t.Errorf("%s still runs after %v", p.id, shutdownTimeout)
	}
}
