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

// shutdownTimeout is the time that an instance may take to end. It covers the time in
// which peers may still list it, the TTL with which callers cache its address, and the
// longest request of the test.
const shutdownTimeout = 30 * time.Second

// shutdownCaller is a caller that requests the entry addresses from one instance,
// caches them until their TTL expires and sends its requests to them in turn.
type shutdownCaller struct {
	fleet       *processFleet
	entrySource string
	client      *http.Client
	// body is the chat to send. If it is empty, the caller sends filings.
	body string

	entries []string
	expires time.Time
	sent    int
}

// entry returns an entry address that may still be used.
func (c *shutdownCaller) entry() (string, error) {
	if time.Now().Before(c.expires) {
		c.sent++
		return c.entries[c.sent%len(c.entries)], nil
	}
	requested := time.Now()
	resp, err := c.fleet.http.Get("http://" + c.entrySource + "/v1/entries")
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
	c.entries = c.entries[:0]
	for _, e := range answer.Entries {
		c.entries = append(c.entries, e.Addr)
	}
	c.expires = requested.Add(time.Duration(answer.TTLMs) * time.Millisecond)
	return c.entry()
}

// sendOnce sends one request to a cached address. An answer with the outcome not-run
// is counted in refused and is no error; a refused connection and a truncated answer
// are errors.
func (c *shutdownCaller) sendOnce(refused *atomic.Int64) error {
	addr, err := c.entry()
	if err != nil {
		return err
	}
	path := "/v1/chat/completions"
	if c.body == "" {
		path = "/v1/services/" + testService + "/filings"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(c.body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	// Without GetBody the HTTP client of the test cannot hide a failure by repeating the
	// request.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("reading the answer of %s: %w", addr, err)
	}
	if resp.Header.Get("X-Wigeonwood-Outcome") == "not-run" {
		refused.Add(1)
		return nil
	}
	complete := c.body == "" || strings.HasSuffix(strings.TrimSpace(string(raw)), "data: [DONE]")
	if resp.StatusCode >= 300 || !complete {
		return fmt.Errorf("%s answered %d: %.200s", addr, resp.StatusCode, raw)
	}
	return nil
}

func streamedChat(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"go on"}]}`, testModel, tokens)
}

// TestShutdown stops a plain router and then a control replica with SIGTERM while
// callers that cache addresses send short chats, long chats and non-idempotent
// filings, with and without kept-alive connections. It guards against shutdowns that
// truncate answers or refuse connections.
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
		for _, keepAlive := range []bool{false, true} {
			c := &shutdownCaller{fleet: f, entrySource: f.instances[0].callerAddr(), body: body}
			c.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: !keepAlive}}
			callers.Go(func() {
				defer c.client.CloseIdleConnections()
				for ctx.Err() == nil {
					if err := c.sendOnce(&refused); err != nil {
						t.Errorf("body %.60q, keep-alive %v: %v", body, keepAlive, err)
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

// stopGracefully sends SIGTERM to p and waits until p ends, at most shutdownTimeout.
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
