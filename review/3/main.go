// Command 3 shows that a stream which was broken off by the crash of its server reaches its
// client as complete.
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
	// Each of the servers runs slots streams and queues a few more.
	servers = 4
	slots   = 8
	queue   = 2
	streams = servers * (slots + queue)
	events  = 40
	gap     = 100
	warmups = 200
)

func main() { kit.Run(run) }

func run(f *kit.Fleet) (int, error) {
	if err := f.StartAll(3, 1, kit.Config(1)); err != nil {
		return 0, err
	}
	for i := range servers {
		id := serverID(i)
		if err := f.StartServer(kit.ServerConfig{ID: id, Service: "llm", Addr: f.IP(20+i) + ":8080", Slots: slots, Queue: queue}); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	front := f.Front(f.Routers[0])
	for i := range warmups {
		r := request(fmt.Sprintf("short-%d", i), i, 3, 1)
		if a := kit.Do(front, r); a.Err != nil || a.Status != 200 {
			f.Record.Printf("%s: %v", r.ID, a)
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, whole := 0, 0
	for i := range streams {
		wg.Go(func() {
			r := request(fmt.Sprintf("draft-%d", i), i, events, gap)
			f.Record.Printf("%s is sent", r.ID)
			a := kit.Do(front, r)
			verdict := judge(a, r.ID)
			f.Record.Printf("%s: %v; %s", r.ID, a, verdict)
			mu.Lock()
			defer mu.Unlock()
			switch verdict {
			case verdictBroken:
				broken++
			case verdictWhole:
				whole++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if kit.Trouble() {
		f.Record.Printf("server %s crashes (SIGKILL)", serverID(0))
		f.Proc(serverID(0)).Signal(syscall.SIGKILL)
	}
	wg.Wait()
	for i := range servers {
		f.Record.Append(f.LogOf(serverID(i)))
	}
	f.Record.Printf("%d streams sent, %d whole, %d ended as complete before their last piece", streams, whole, broken)
	switch {
	case broken > 0:
		return kit.ExitBroken, nil
	case whole == 0:
		return 0, fmt.Errorf("no stream was served whole")
	}
	return kit.ExitHeld, nil
}

func serverID(i int) string { return fmt.Sprintf("i-%d", i) }

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

// request returns the request for one stream. Its answer has no length.
func request(id string, session, events, gap int) kit.Request {
	return kit.Request{
		ID: id, Method: "POST", Path: "/draft/2f", Key: kit.Key, Deadline: 15 * time.Second,
		Header: fmt.Sprintf("X-Wigeonwood-Model: m\r\nX-Wigeonwood-Token-Count: 1460,80\r\nX-Wigeonwood-Prompt-Prefix: 5c1e07a2:800,91bd%04x:410,e44%05x:250\r\n", session, session),
		Body:   fmt.Sprintf("events=%d gap=%d framed=0", events, gap),
	}
}
