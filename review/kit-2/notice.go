package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["notice"] = notice }

const (
	// contact and drain are contactMs and drainMs of the settings.
	contact = 3 * time.Second
	drain   = 2 * time.Second
	// calm is more than contact: all machines are in touch when the notice is sent.
	calm = 4 * time.Second
	// margin allows for the time that a record takes to reach the driver.
	margin = 100 * time.Millisecond
	// downTime is how long the processes are down.
	downTime = 500 * time.Millisecond
	// plainInterval is the time between two requests at one router.
	plainInterval = 50 * time.Millisecond
)

// notice lets a server say that it is gone. All processes are killed right after the
// acknowledgement and started again. It counts the requests that reach the server later than
// drain after the acknowledgement and that clients have sent when all machines are in touch.
func notice(s *site, trouble bool) (broken int, err error) {
	if err := s.startAll(config(1)); err != nil {
		return 0, err
	}
	for i := range plainServers + 1 {
		if err := s.startServer(fmt.Sprint("plain", i), 150+i, "plain"); err != nil {
			return 0, err
		}
	}
	if err := s.warm("/free/x"); err != nil {
		return 0, err
	}
	sent, stop := s.plainLoad()
	time.Sleep(calm)
	const leaver = "plain0"
	s.signal(leaver, syscall.SIGUSR2)
	if err := s.awaitNotice(leaver); err != nil {
		return 0, err
	}
	started := time.Now()
	if trouble {
		if err := s.restartAll(); err != nil {
			return 0, err
		}
		started = time.Now()
	}
	time.Sleep(time.Until(s.noticeOf(leaver).Add(servesOn)))
	stop()
	return s.late(leaver, sent(), started), nil
}

// restartAll kills all processes of the system at once and starts them again.
func (s *site) restartAll() error {
	var machines []int
	for n := 1; n <= s.replicas; n++ {
		machines = append(machines, n)
	}
	for i := range s.routers {
		machines = append(machines, routerNumber(i))
	}
	var kills sync.WaitGroup
	for _, n := range machines {
		kills.Go(func() { s.kill(fmt.Sprint(n)) })
	}
	kills.Wait()
	time.Sleep(downTime)
	for _, n := range machines {
		if err := s.start(n, false); err != nil {
			return err
		}
	}
	s.logf("all machines are started again")
	return nil
}

// plainLoad sends requests to all routers until stop is called. sent returns when each was sent.
func (s *site) plainLoad() (sent func() map[string]time.Time, stop func()) {
	var mu sync.Mutex
	times := make(map[string]time.Time)
	var ended atomic.Bool
	var senders sync.WaitGroup
	for i := range s.routers {
		senders.Go(func() {
			for n := 0; !ended.Load(); n++ {
				id := fmt.Sprintf("p-%d-%d", i, n)
				mu.Lock()
				times[id] = time.Now()
				mu.Unlock()
				senders.Go(func() {
					a := s.call(routerNumber(i), http.MethodPost, "/free/x?n=1&gap=20", id, 4*time.Second, "x")
					s.logf("client %s at router %d: status %d, error %v", id, i, a.status, a.err)
				})
				time.Sleep(plainInterval)
			}
		})
	}
	sent = func() map[string]time.Time {
		mu.Lock()
		defer mu.Unlock()
		return times
	}
	return sent, func() {
		ended.Store(true)
		senders.Wait()
	}
}

// late counts the requests that reached the server later than drain after its notice was
// acknowledged, and that were sent when all machines had run for contact.
func (s *site) late(server string, sent map[string]time.Time, started time.Time) (count int) {
	acknowledged := s.noticeOf(server)
	for id, at := range sent {
		s.mu.Lock()
		ranAt, arrived := s.ranAt[id], s.arrived[id]
		s.mu.Unlock()
		if !strings.EqualFold(ranAt, server) || !arrived.After(acknowledged.Add(drain+margin)) {
			continue
		}
		s.logf("%s reaches %s %.3f s after its notice, sent %.3f s after the last start", id, server, arrived.Sub(acknowledged).Seconds(), at.Sub(started).Seconds())
		if at.After(started.Add(contact + margin)) {
			count++
		}
	}
	return count
}
