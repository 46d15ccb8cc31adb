package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["spot"] = spot
	cases["crash-while-frozen"] = crashWhileFrozen
}

const (
	// engines and plainServers are the numbers of servers, as in the site hkb-survey.
	engines      = 9
	plainServers = 3
	// longStreams is the number of streams without a length. Each has pieces events, gapMs after
	// each other.
	longStreams = 18
	pieces      = 60
	gapMs       = 100
	// loadInterval is the time between two of the other requests at one router. Their answers
	// are short and mark their end, so that about one answer in twenty has no length.
	loadInterval = 200 * time.Millisecond
)

// startServers starts the servers of both services and waits until all routers reach them.
func (s *site) startServers() error {
	for i := range engines {
		if err := s.startServer(fmt.Sprint("llm", i), 100+i, "llm"); err != nil {
			return err
		}
	}
	for i := range plainServers {
		if err := s.startServer(fmt.Sprint("plain", i), 150+i, "plain"); err != nil {
			return err
		}
	}
	return s.warm("/final/x?kind=stream&n=2", "/draft/x?kind=stream&n=2", "/free/x", "/once/x")
}

// load sends the other requests to all routers until stop is called.
func (s *site) load() (stop func()) {
	var ended atomic.Bool
	var senders sync.WaitGroup
	paths := []string{"/draft/x?kind=stream&n=3&gap=20", "/free/x?n=1&gap=20", "/final/x?kind=stream&n=3&gap=20", "/once/x?n=1&gap=20"}
	for i := range s.routers {
		senders.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(loadInterval))))
			for n := 0; !ended.Load(); n++ {
				id, path := fmt.Sprintf("load-%d-%d", i, n), paths[n%len(paths)]
				senders.Go(func() {
					a := s.call(routerNumber(i), http.MethodPost, path, id, 4*time.Second, "x")
					s.logf("client %s at router %d: status %d, error %v", id, i, a.status, a.err)
				})
				time.Sleep(loadInterval)
			}
		})
	}
	return func() {
		ended.Store(true)
		senders.Wait()
	}
}

// streams sends the streams without a length, on the routes of streams in turn, and waits until
// all have begun. wait returns the number of answers that ended as complete and are not.
func (s *site) streams() (wait func() int, err error) {
	want := wholeBody(pieces)
	prefixes := []string{"final", "draft"}
	var calls sync.WaitGroup
	var broken atomic.Int64
	for i := range longStreams {
		calls.Go(func() {
			id, prefix := fmt.Sprintf("s-%d", i), prefixes[i/s.routers%len(prefixes)]
			path := fmt.Sprintf("/%s/x?kind=stream&frame=close&gap=%d&n=%d", prefix, gapMs, pieces)
			s.logf("client sends %s to router %d: %s", id, i%s.routers, path)
			a := s.call(routerNumber(i%s.routers), http.MethodPost, path, id, 14*time.Second, "x")
			s.logf("client %s at router %d (%s): %s", id, i%s.routers, prefix, a.describe(want))
			if a.partial(want) {
				broken.Add(1)
			}
		})
	}
	if !within(5*time.Second, func() bool { return len(s.running()) == longStreams }) {
		err = fmt.Errorf("%w: %d of %d streams run", errCase, len(s.running()), longStreams)
	}
	return func() int {
		calls.Wait()
		return int(broken.Load())
	}, err
}

// running returns the server that runs each of the streams without a length.
func (s *site) running() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := make(map[string]string)
	for id, server := range s.ranAt {
		if strings.HasPrefix(id, "s-") {
			at[id] = server
		}
	}
	return at
}

// busiest returns the server that runs the most of these streams.
func busiest(at map[string]string) (server string) {
	count := make(map[string]int)
	for _, name := range at {
		count[name]++
	}
	for name, n := range count {
		if n > count[server] || n == count[server] && name < server {
			server = name
		}
	}
	return server
}

// spot takes a server away two seconds after its notice was acknowledged, while it streams
// answers that have no length.
func spot(s *site, trouble bool) (broken int, err error) {
	wait, stopLoad, err := s.begin()
	if err != nil {
		return 0, err
	}
	defer stopLoad()
	if trouble {
		leaver := busiest(s.running())
		s.signal(leaver, syscall.SIGUSR1)
		if err := s.awaitNotice(leaver); err != nil {
			return 0, err
		}
		time.Sleep(2 * time.Second)
		s.kill(leaver)
	}
	return wait(), nil
}

// begin starts the fleet, the servers, the load and the streams.
func (s *site) begin() (wait func() int, stopLoad func(), err error) {
	if err := s.startAll(config(1)); err != nil {
		return nil, nil, err
	}
	if err := s.startServers(); err != nil {
		return nil, nil, err
	}
	stopLoad = s.load()
	wait, err = s.streams()
	if err != nil {
		stopLoad()
	}
	return wait, stopLoad, err
}

// awaitNotice waits until the notice of a server that it leaves is acknowledged.
func (s *site) awaitNotice(name string) error {
	if !within(5*time.Second, func() bool { return !s.noticeOf(name).IsZero() }) {
		return fmt.Errorf("%w: the notice of %s was not acknowledged", errCase, name)
	}
	return nil
}

func (s *site) noticeOf(name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noticed[name]
}

// crashWhileFrozen lets a router stand still for 3.5 seconds. Meanwhile a server crashes, and
// starts again at its address two seconds later.
func crashWhileFrozen(s *site, trouble bool) (broken int, err error) {
	wait, stopLoad, err := s.begin()
	if err != nil {
		return 0, err
	}
	defer stopLoad()
	if !trouble {
		return wait(), nil
	}
	at := s.running()
	crasher := busiest(at)
	frozen := ""
	for id, server := range at {
		n, err := strconv.Atoi(strings.TrimPrefix(id, "s-"))
		if err == nil && server == crasher {
			frozen = fmt.Sprint(routerNumber(n % s.routers))
		}
	}
	n, err := strconv.Atoi(strings.TrimPrefix(crasher, "llm"))
	if err != nil {
		return 0, err
	}
	s.signal(frozen, syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	s.kill(crasher)
	time.Sleep(2 * time.Second)
	if err := s.startServer(crasher, 100+n, "llm"); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	s.signal(frozen, syscall.SIGCONT)
	return wait(), nil
}
