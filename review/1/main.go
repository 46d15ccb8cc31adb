// Command 1 shows that a planned stop of a router makes a stream that it cuts off look complete.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonwood/wigeonwood/review/kit"
)

const (
	streams = 8
	events  = 100
	gap     = 100
	// grace is graceS, after which the platform kills a process.
	grace = 8 * time.Second
)

func main() { kit.Run(run) }

func run(f *kit.Fleet) (int, error) {
	if err := f.StartAll(3, 2, kit.Config(1)); err != nil {
		return 0, err
	}
	for i, id := range []string{"i-a", "i-b"} {
		if err := f.StartServer(kit.ServerConfig{ID: id, Service: "llm", Addr: f.IP(20+i) + ":8080", Slots: 64, Queue: 16}); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, broken, cut := 0, 0, 0
	for i := range streams {
		wg.Go(func() {
			r := request(fmt.Sprintf("draft-%d", i), i, i%2)
			f.Record.Printf("%s is sent", r.ID)
			a := kit.Do(f.Front(f.Routers[0]), r)
			verdict := judge(a, r.ID)
			f.Record.Printf("%s: %v; %s", r.ID, a, verdict)
			mu.Lock()
			defer mu.Unlock()
			switch verdict {
			case verdictBroken:
				broken++
			case verdictWhole:
				whole++
			default:
				cut++
			}
		})
	}
	time.Sleep(time.Second)
	if kit.Trouble() {
		f.Record.Printf("router %d is to stop (SIGTERM)", f.Routers[0])
		p := f.Machine(f.Routers[0])
		p.Signal(syscall.SIGTERM)
		wg.Go(func() {
			code, ended := p.Ended(grace)
			f.Record.Printf("router %d ended within graceS: %t, exit code %d", f.Routers[0], ended, code)
			if !ended {
				p.Kill()
			}
		})
	}
	wg.Wait()
	f.Record.Printf("%d streams sent: %d whole, %d ended as complete before their last piece, %d cut off visibly", streams, whole, broken, cut)
	f.Record.Append(f.LogOf("i-a"), f.LogOf("i-b"))
	switch {
	case broken > 0:
		return kit.ExitBroken, nil
	case whole == 0 && !kit.Trouble():
		return 0, fmt.Errorf("no stream was served whole")
	}
	return kit.ExitHeld, nil
}

const (
	verdictBroken = "ORDER broken: it ends as complete before its last piece"
	verdictWhole  = "whole"
)

// judge compares an answer with the whole stream of the request.
func judge(a kit.Answer, id string) string {
	want := kit.StreamBody(id, events)
	switch {
	case a.Err != nil:
		return "not complete, and the client sees it"
	case a.Status != 200:
		return "refused or failed"
	case a.Body == want:
		return verdictWhole
	case strings.HasPrefix(want, a.Body):
		return verdictBroken
	}
	return "another body"
}

// request returns the request for one stream. With framed 0, the answer ends with its
// connection, with framed 1 it comes in chunks.
func request(id string, session, framed int) kit.Request {
	return kit.Request{
		ID: id, Method: "POST", Path: "/draft/2f", Key: kit.Key, Deadline: 15 * time.Second,
		Header: fmt.Sprintf("X-Wigeonwood-Model: m\r\nX-Wigeonwood-Token-Count: 1460,80\r\nX-Wigeonwood-Prompt-Prefix: 5c1e07a2:800,91bd%04x:410,e44%05x:250\r\n", session, session),
		Body:   fmt.Sprintf("events=%d gap=%d framed=%d", events, gap, framed),
	}
}
