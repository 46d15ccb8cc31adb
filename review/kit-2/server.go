package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// standIn is a stand-in for a server of the platform. What it does with a request follows from
// the query of the request:
//
//	n       number of events (or of parts of a plain answer)
//	gap     time before each of them, in ms
//	frame   close: the answer has no length and ends with its connection
type standIn struct {
	id       string
	addr     string
	service  string
	zone     string
	controls []string
	slots    int
	born     int64
	seq      atomic.Int64
	state    atomic.Value

	mu  sync.Mutex
	out io.Writer
}

func (s *standIn) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, format+"\n", args...)
}

// serverMain runs a stand-in server until it is killed. SIGUSR1 makes it say that it drains,
// SIGUSR2 that it is gone. It returns only with an error.
func serverMain(args []string) error {
	fs := flag.NewFlagSet("server", flag.ContinueOnError)
	s := &standIn{out: os.Stdout, born: time.Now().UnixMilli()}
	var controls string
	fs.StringVar(&s.id, "id", "", "id")
	fs.StringVar(&s.addr, "addr", "", "address")
	fs.StringVar(&s.service, "service", "", "service")
	fs.StringVar(&s.zone, "zone", "zone-0", "zone")
	fs.StringVar(&controls, "controls", "", "addresses of the control plane")
	fs.IntVar(&s.slots, "slots", 64, "slots")
	if err := fs.Parse(args); err != nil {
		return err
	}
	s.controls = strings.Split(controls, ",")
	s.state.Store("ready")
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	go func() {
		<-drain
		s.state.Store("draining")
		for !s.beat() {
			time.Sleep(50 * time.Millisecond)
		}
		s.say("drain-acknowledged")
	}()
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR2)
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		for {
			s.beat()
			select {
			case <-leave:
				s.leave()
				return
			case <-ticker.C:
			}
		}
	}()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 1200 * time.Millisecond
	// servesOn is how long a server that leaves serves on after the acknowledgement.
	servesOn = 8 * time.Second
)

// leave says that the server is gone, serves on for a while and ends the process. The server has
// not said before that it drains.
func (s *standIn) leave() {
	for !s.deregister() {
		time.Sleep(50 * time.Millisecond)
	}
	s.say("leave-acknowledged")
	time.Sleep(servesOn)
	os.Exit(0)
}

// deregister says to the first daemon that acknowledges it that the server is gone.
func (s *standIn) deregister() bool {
	for _, control := range s.controls {
		if status(http.MethodDelete, "http://"+control+"/api/instances/"+s.id, "") == http.StatusOK {
			return true
		}
	}
	return false
}

// beat sends a heartbeat to the first daemon that acknowledges it.
func (s *standIn) beat() bool {
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state.Load(),
		"coldLeftMs": 0, "phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"seq": s.seq.Add(1), "born": s.born,
	})
	if err != nil {
		return false
	}
	for _, control := range s.controls {
		if status(http.MethodPut, "http://"+control+"/api/instances/"+s.id, string(body)) == http.StatusOK {
			return true
		}
	}
	return false
}

// serve answers the requests of one connection, one after the other.
func (s *standIn) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.answer(conn, req) {
			return
		}
	}
}

// answer answers a request. It returns false if the connection ends with the answer.
func (s *standIn) answer(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Wigeonwood-Request-Id")
	if expected := req.Header.Get("X-Wigeonwood-Expect-Instance"); expected != "" && expected != s.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return true
	}
	query := req.URL.Query()
	n, gap := number(query, "n", 1), time.Duration(number(query, "gap", 5))*time.Millisecond
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	stream := query.Get("kind") == "stream"
	s.say("run %s %s from %d", id, s.id, from)
	contentType := "text/plain"
	if stream {
		contentType = "text/event-stream"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Server-Stamp: stamp-%s\r\n", contentType, id, s.id)
	unframed := query.Get("frame") == "close"
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(conn, head); err != nil {
		s.say("end %s %s cut", id, s.id)
		return false
	}
	for i := from + 1; i <= n; i++ {
		time.Sleep(gap)
		text := piece(i)
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			s.say("end %s %s cut after %d", id, s.id, i-1)
			return false
		}
	}
	s.say("end %s %s whole", id, s.id)
	if unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// piece returns the i-th event.
func piece(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

// wholeBody returns the body of an answer of n events.
func wholeBody(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(piece(i))
	}
	return b.String()
}

func number(query url.Values, name string, otherwise int) int {
	n, err := strconv.Atoi(query.Get(name))
	if err != nil {
		return otherwise
	}
	return n
}

// startServer starts a stand-in server as a process of its own and follows what it says.
func (s *site) startServer(name string, n int, service string) error {
	var controls []string
	for i := range s.replicas {
		controls = append(controls, fmt.Sprintf("%s:%d", s.ip(1+(i+n)%s.replicas), controlPort))
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, "server", "-id", "i-"+name, "-addr", fmt.Sprintf("%s:8025", s.ip(n)), "-service", service,
		"-zone", fmt.Sprint("zone-", n%3), "-controls", strings.Join(controls, ","))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := s.launch(name, cmd); err != nil {
		return err
	}
	go s.follow(name, out)
	return nil
}

func (s *site) follow(name string, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		s.logf("server %s: %s", name, lines.Text())
		fields := strings.Fields(lines.Text())
		s.mu.Lock()
		switch {
		case len(fields) > 1 && fields[0] == "run":
			s.runs[fields[1]]++
			s.ranAt[fields[1]] = name
			s.arrived[fields[1]] = time.Now()
		case len(fields) == 1 && strings.HasSuffix(fields[0], "-acknowledged"):
			s.noticed[name] = time.Now()
		}
		s.mu.Unlock()
	}
}
