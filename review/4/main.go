// Command 4 shows that whole answers of a server that leaves as planned do not reach their
// clients.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonwood/wigeonwood/review/kit"
)

const (
	slots    = 6
	requests = 18
	// workMs is longer than a leaving server accepts connections after its notice, and well
	// below the deadline of the requests.
	workMs = 3000
	// maxLost is the number of connections closed without an answer that the rule allows.
	maxLost = 3
)

func main() { kit.Run(run) }

func run(f *kit.Fleet) (int, error) {
	if err := f.StartAll(3, 1, kit.Config(1)); err != nil {
		return 0, err
	}
	for i, id := range []string{"i-a", "i-b", "i-c"} {
		if err := f.StartServer(kit.ServerConfig{ID: id, Service: "app", Addr: f.IP(20+i) + ":8080", Slots: slots, Queue: 12}); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, lost, other := 0, 0, 0
	for i := range requests {
		wg.Go(func() {
			id := fmt.Sprintf("filing-%d", i)
			verdict := file(f, id)
			mu.Lock()
			defer mu.Unlock()
			switch verdict {
			case verdictWhole:
				whole++
			case verdictLost:
				lost++
			default:
				other++
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	if kit.Trouble() {
		f.Record.Printf("server i-a is to leave (SIGTERM): it drains, says that it is gone, answers what it runs and ends")
		f.Proc("i-a").Signal(syscall.SIGTERM)
	}
	wg.Wait()
	f.Record.Printf("%d requests: %d answered whole, %d whose connection was closed without an answer, %d otherwise", requests, whole, lost, other)
	f.Record.Append(f.LogOf("i-a"), f.LogOf("i-b"), f.LogOf("i-c"))
	switch {
	case lost > maxLost:
		return kit.ExitBroken, nil
	case whole == 0:
		return 0, fmt.Errorf("no request was served")
	}
	return kit.ExitHeld, nil
}

const (
	verdictWhole = "answered whole"
	verdictLost  = "the connection is closed without an answer"
)

// file sends two requests on one kept connection: a short one, whose answer has a length, and
// a longer one, whose answer ends with the connection.
func file(f *kit.Fleet, id string) string {
	conn, err := kit.Dial(f.Front(f.Routers[0]))
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	first := request(id+"-first", "work=5")
	if a := conn.Do(first); a.Err != nil || a.Status != 200 {
		f.Record.Printf("%s: %v", first.ID, a)
		return "the first request failed"
	}
	r := request(id, fmt.Sprintf("work=%d framed=0", workMs))
	f.Record.Printf("%s is sent", id)
	a := conn.Do(r)
	verdict := fmt.Sprintf("status %d", a.Status)
	switch {
	case a.Err != nil:
		verdict = verdictLost
	case a.Status == 200 && a.Body == kit.PlainBody(id):
		verdict = verdictWhole
	}
	f.Record.Printf("%s: %v; %s", id, a, verdict)
	return verdict
}

func request(id, body string) kit.Request {
	return kit.Request{ID: id, Method: "POST", Path: "/filing/2f", Key: kit.Key, Deadline: 4 * time.Second, Body: body}
}
