// Command 5 shows that the notice of a server that it is gone is lost with the replica that
// acknowledged it, so that the server goes on getting requests.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/review/kit"
)

const (
	// drain is drainMs, contact is contactMs.
	drain   = 2 * time.Second
	contact = 3 * time.Second
	// restartAfter is how long the killed replica is down.
	restartAfter = 500 * time.Millisecond
	// serves is how long the server serves after its notice.
	serves = 8 * time.Second
	// clients send one request after another, with a pause.
	clients = 4
	pause   = 50 * time.Millisecond
	acker   = 1
	leaver  = "i-a"
)

func main() { kit.Run(run) }

func run(f *kit.Fleet) (int, error) {
	if err := f.StartAll(3, 2, kit.Config(1)); err != nil {
		return 0, err
	}
	for i, id := range []string{leaver, "i-b", "i-c"} {
		if err := f.StartServer(kit.ServerConfig{ID: id, Service: "app", Addr: f.IP(20+i) + ":8080", Slots: 6, Queue: 12}); err != nil {
			return 0, err
		}
	}
	time.Sleep(4 * time.Second)
	var answered atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { answered.Add(int64(client(f, i, stop))) })
	}
	time.Sleep(2 * time.Second)
	f.Proc(leaver).Signal(kit.SilenceSignal)
	time.Sleep(100 * time.Millisecond)
	status := kit.Call(http.MethodDelete, "http://"+f.Control(acker)+"/api/instances/"+leaver, "", time.Second)
	acked := time.Now()
	inTouch := acked.Add(drain)
	if kit.Trouble() {
		f.Machine(acker).Kill()
	}
	f.Record.Printf("machine %d answered the notice that %s is gone with %d", acker, leaver, status)
	if kit.Trouble() {
		f.Record.Printf("machine %d was killed right after that", acker)
		time.Sleep(restartAfter)
		if err := f.Start(acker, false); err != nil {
			return 0, err
		}
		inTouch = time.Now().Add(contact)
	}
	time.Sleep(time.Until(acked.Add(serves)))
	f.Proc(leaver).Kill()
	f.Record.Printf("%s ends", leaver)
	close(stop)
	wg.Wait()
	f.Record.Printf("what %s ran:", leaver)
	f.Record.Append(f.LogOf(leaver))
	early, late := arrivals(f, acked, inTouch)
	f.Record.Printf("%d requests answered; %s ran %d in the last second before its notice, and %d that reached it over %v later, while all machines were in touch again",
		answered.Load(), leaver, early, late, inTouch.Sub(acked).Round(time.Millisecond))
	switch {
	case status != http.StatusOK:
		return 0, fmt.Errorf("the notice was not acknowledged")
	case late > 0:
		f.Record.Printf("DRAIN broken")
		return kit.ExitBroken, nil
	case early == 0:
		return 0, fmt.Errorf("%s got no requests before its notice", leaver)
	}
	return kit.ExitHeld, nil
}

// client sends requests over the routers in turn until stop is closed, and returns how many
// were answered with success.
func client(f *kit.Fleet, number int, stop <-chan struct{}) (answered int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return answered
		case <-time.After(pause):
		}
		router := f.Routers[(number+i)%len(f.Routers)]
		r := kit.Request{ID: fmt.Sprintf("lookup-%d-%d", number, i), Method: "GET", Path: "/lookup/2f", Key: kit.Key, Deadline: time.Second}
		a := kit.Do(f.Front(router), r)
		f.Record.Printf("%s sent to router %d: %v", r.ID, router, a)
		if a.Err == nil && a.Status == http.StatusOK {
			answered++
		}
	}
}

// arrivals returns how many requests the leaver ran in the last second before its notice was
// acknowledged, and how many after a later time.
func arrivals(f *kit.Fleet, acked, after time.Time) (early, late int) {
	for line := range strings.Lines(f.LogOf(leaver)) {
		words := strings.Fields(line)
		if len(words) < 4 || words[2] != "RUN" {
			continue
		}
		ms, _ := strconv.ParseInt(words[0], 10, 64)
		at := time.UnixMilli(ms)
		switch {
		case at.After(acked.Add(-time.Second)) && at.Before(acked):
			early++
		case at.After(after):
			late++
			if late <= 5 {
				f.Record.Printf("%s reached %s %v after the notice was acknowledged", words[3], leaver, at.Sub(acked).Round(time.Millisecond))
			}
		}
	}
	return early, late
}
