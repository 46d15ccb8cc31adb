package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Times of the case lateFirstEvent.
const (
	lateServers = 3
	lateCalm    = 6 * time.Second
	lateAfter   = 12 * time.Second
	// lateDelay is the time from the header to the first event of a long draft.
	lateDelay = 2500 * time.Millisecond
	// lateTimeout is the timeoutMs of the route after the change.
	lateTimeout = 1500 * time.Millisecond
	// lateSlack is the time after timeoutMs within which a request must be answered.
	lateSlack = 500 * time.Millisecond
	// longPath is the path of long drafts, shortPath that of others.
	longPath  = "/draft/long"
	shortPath = "/draft/short"
)

// lateDrafts returns the configuration with this time limit of the route.
func lateDrafts(version int, timeout time.Duration) []byte {
	text := strings.Replace(drafts, `"version":3`, fmt.Sprintf(`"version":%d`, version), 1)
	return []byte(strings.Replace(text, `"timeoutMs":8000`, fmt.Sprintf(`"timeoutMs":%d`, timeout.Milliseconds()), 1))
}

// lateFirstEvent shortens the time limit of a route of streams. Servers send the header of a stream at
// once, and the first event of a long draft later than the new limit. Requests that are unanswered at
// the limit must be answered then, and no kept connection may be closed without an answer more than
// three times by a machine.
func lateFirstEvent(l *lab) ([]string, error) {
	f := l.fleet
	if err := f.startAll(true); err != nil {
		return nil, err
	}
	if _, err := f.put(lateDrafts(3, 8*time.Second), 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var servers []*server
	for i := range lateServers {
		s, err := startServer(f, l.log, fmt.Sprintf("i-%d", i+1), "drafter", zones[i], earlyHeader(l))
		if err != nil {
			return nil, err
		}
		defer s.exit()
		servers = append(servers, s)
	}
	time.Sleep(2 * heartbeatTime)
	path := func(n int) string {
		if n%2 == 1 {
			return longPath
		}
		return shortPath
	}
	k := &keptClients{lab: l, path: path, entries: &entries{fleet: f}, stop: make(chan struct{})}
	k.start()
	time.Sleep(lateCalm)
	var breaks []string
	if l.trouble {
		m, err := f.put(lateDrafts(5, lateTimeout), 10*time.Second)
		if err != nil {
			return nil, err
		}
		l.log.say("%s acknowledged the change of timeoutMs to %d", m.name, lateTimeout.Milliseconds())
		inForce := time.Now().Add(configApplyTime)
		time.Sleep(lateAfter)
		k.end()
		breaks = unanswered(l, k, inForce)
	} else {
		time.Sleep(lateAfter)
		k.end()
	}
	return append(breaks, closedWithoutAnswer(l, k, servers)...), nil
}

// earlyHeader returns the handler of a server that sends the header of a stream at once.
func earlyHeader(l *lab) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == longPath {
			select {
			case <-r.Context().Done():
				l.log.add("the request %s is given up before its first event", r.Header.Get("X-Wigeonwood-Request-Id"))
				return
			case <-time.After(lateDelay):
			}
		}
		sendEvents(l, w, r)
	}
}

// unanswered returns a break of CONFIG if more than half of the requests that were sent under the new
// time limit, and were unanswered when it had passed, had no answer lateSlack later.
func unanswered(l *lab, k *keptClients, inForce time.Time) []string {
	late, never := 0, 0
	for _, r := range k.requests {
		if r.sent.Before(inForce) || r.path != longPath {
			continue
		}
		answered := r.status != 0 && r.answeredAt.Sub(r.sent) <= lateTimeout+lateSlack
		if answered && r.answeredAt.Sub(r.sent) < lateTimeout {
			continue
		}
		late++
		if !answered {
			never++
		}
	}
	l.log.say("%d requests were unanswered at timeoutMs, %d of them had no answer half a second later", late, never)
	if 2*never <= late {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: of %d requests that were unanswered at their route's timeoutMs, %d had no answer half a second later", late, never)}
}
