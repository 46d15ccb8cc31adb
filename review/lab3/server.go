package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in for a server of the platform. It announces itself, runs requests that
// name it and rejects others.
type server struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	addr    string
	born    int64
	handler http.HandlerFunc
	log     *record
	http    *http.Server

	// stop ends the heartbeats.
	stop chan struct{}

	mu  sync.Mutex
	ran map[string]bool
}

// startServer starts a server that runs requests by handler.
func startServer(f *fleet, log *record, id, service, zone string, handler http.HandlerFunc) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{fleet: f, id: id, service: service, zone: zone, addr: ln.Addr().String(), born: time.Now().UnixMilli(),
		handler: handler, log: log, stop: make(chan struct{}), ran: make(map[string]bool)}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(ln) }()
	go s.announce()
	return s, nil
}

// serve runs one request, or rejects it if it names another server.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Wigeonwood-Request-Id")
	w.Header().Set("X-Wigeonwood-Request-Id", id)
	if r.Header.Get("X-Wigeonwood-Expect-Instance") != s.id {
		w.Header().Set("X-Wigeonwood-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.ran[id] = true
	s.mu.Unlock()
	s.log.add("server %s runs %s", s.id, id)
	w.Header().Set("X-Wigeonwood-Server-Stamp", "stamp."+s.id+"."+id)
	s.handler(w, r)
}

// announce sends heartbeats until the server ends.
func (s *server) announce() {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		s.heartbeat(sequence)
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// heartbeat sends one heartbeat to the core machines in random order until one acknowledges it.
func (s *server) heartbeat(sequence int) {
	body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": 64,
		"state": "ready", "coldLeftMs": 0, "seq": sequence, "born": s.born})
	for _, i := range rand.Perm(len(s.fleet.cores)) {
		if status, _ := call(http.MethodPut, s.url(s.fleet.cores[i]), body); status/100 == 2 {
			return
		}
	}
}

func (s *server) url(m *machine) string {
	return fmt.Sprintf("http://%s/api/instances/%s", m.controlAddr(), s.id)
}

// hasRun reports whether the server ran a request.
func (s *server) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// exit ends the server at once, with all its connections.
func (s *server) exit() {
	close(s.stop)
	_ = s.http.Close()
}
