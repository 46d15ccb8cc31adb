package kit

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
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

const serverCommand = "server"

// ServerConfig describes a stand-in server.
type ServerConfig struct {
	ID, Service, Addr string
	// Slots requests run concurrently, and up to Queue more wait.
	Slots, Queue int
}

// StartServer starts a stand-in server as a process of its own.
func (f *Fleet) StartServer(c ServerConfig) error {
	var controls []string
	for _, n := range f.Replicas {
		controls = append(controls, f.Control(n))
	}
	cmd := exec.Command(os.Args[0], serverCommand, "-id", c.ID, "-service", c.Service, "-addr", c.Addr,
		"-slots", strconv.Itoa(c.Slots), "-queue", strconv.Itoa(c.Queue), "-controls", strings.Join(controls, ","))
	cmd.Env = baseEnv()
	f.Record.Printf("server %s of %s is started at %s with %d slots", c.ID, c.Service, c.Addr, c.Slots)
	return f.start(c.ID, cmd)
}

// server is a stand-in server. A request's body says what it does: "events=N gap=MS" for a
// stream, "work=MS" for a plain answer, and "framed=0" for an answer without a length.
type server struct {
	ServerConfig
	controls []string
	born     int64
	seq      atomic.Int64
	state    atomic.Value

	admitted atomic.Int64
	slots    chan struct{}
	work     sync.WaitGroup
}

func serveCommand(args []string) {
	s := &server{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet(serverCommand, flag.ExitOnError)
	flags.StringVar(&s.ID, "id", "", "id")
	flags.StringVar(&s.Service, "service", "", "service")
	flags.StringVar(&s.Addr, "addr", "", "address")
	flags.IntVar(&s.Slots, "slots", 1, "slots")
	flags.IntVar(&s.Queue, "queue", 0, "queue")
	controls := flags.String("controls", "", "control addresses")
	_ = flags.Parse(args)
	s.controls = strings.Split(*controls, ",")
	s.slots = make(chan struct{}, s.Slots)
	s.state.Store("ready")
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM)
	silences := make(chan os.Signal, 1)
	signal.Notify(silences, SilenceSignal)
	go s.accept(ln)
	go s.heartbeats(silences)
	<-terms
	s.leave(ln)
}

// log writes one line about a run.
func (s *server) log(format string, args ...any) {
	fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), s.ID, fmt.Sprintf(format, args...))
}

// SilenceSignal makes a server send no more heartbeats, since it is about to say that it is
// gone. The script sends that notice itself.
const SilenceSignal = syscall.SIGUSR1

func (s *server) heartbeats(silences <-chan os.Signal) {
	for {
		s.heartbeat()
		select {
		case <-silences:
			s.log("sends no more heartbeats")
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// heartbeat announces the server to one daemon after another until one acknowledges it.
func (s *server) heartbeat() bool {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"klang-a","version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"born":%d,"seq":%d}`,
		s.Service, s.Addr, s.Slots, s.state.Load(), s.born, s.seq.Add(1))
	return s.announce(http.MethodPut, body)
}

func (s *server) announce(method, body string) bool {
	for _, c := range s.controls {
		if Call(method, "http://"+c+"/api/instances/"+s.ID, body, time.Second) == http.StatusOK {
			return true
		}
	}
	return false
}

// drainTime is drainMs, after whose end a leaving server gets no more requests.
const drainTime = 2 * time.Second

// leave is the planned shutdown: the server says that it drains, serves for drainMs and a
// little longer, says that it is gone, accepts no more connections, finishes its requests and
// exits.
func (s *server) leave(ln net.Listener) {
	s.state.Store("draining")
	s.log("drains, acknowledged %t", s.heartbeat())
	time.Sleep(drainTime + 500*time.Millisecond)
	s.log("is gone, acknowledged %t", s.announce(http.MethodDelete, ""))
	ln.Close()
	s.work.Wait()
	s.log("ends after its last answer")
}

func (s *server) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn.(*net.TCPConn))
	}
}

func (s *server) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !s.serve(conn, req, string(body)) {
			return
		}
	}
}

// order is what a request's body asks for.
type order struct {
	events    int
	gap, work time.Duration
	framed    bool
}

func parseOrder(body string) order {
	o := order{framed: true}
	for word := range strings.FieldsSeq(body) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "events":
			o.events = n
		case "gap":
			o.gap = time.Duration(n) * time.Millisecond
		case "work":
			o.work = time.Duration(n) * time.Millisecond
		case "framed":
			o.framed = n != 0
		}
	}
	return o
}

// serve answers one request and reports whether the connection stays open.
func (s *server) serve(conn net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("X-Wigeonwood-Request-Id")
	if expected := req.Header.Get("X-Wigeonwood-Expect-Instance"); expected != "" && expected != s.ID {
		return s.refuse(conn, id, http.StatusMisdirectedRequest, "another server")
	}
	s.work.Add(1)
	defer s.work.Done()
	if s.admitted.Add(1) > int64(s.Slots+s.Queue) {
		s.admitted.Add(-1)
		return s.refuse(conn, id, http.StatusServiceUnavailable, "full")
	}
	defer s.admitted.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.log("RUN %s %s %s after %q: %s", id, req.Method, req.URL.RequestURI(), req.Header.Get("Last-Event-Id"), body)
	o := parseOrder(body)
	var err error
	if o.events > 0 {
		err = s.stream(conn, req, id, o)
	} else {
		time.Sleep(o.work)
		err = s.plain(conn, id, o)
	}
	s.log("END %s %v", id, err)
	return err == nil && o.framed
}

func (s *server) refuse(conn net.Conn, id string, status int, why string) bool {
	s.log("REFUSE %s %d %s", id, status, why)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
	return err == nil
}

func (s *server) head(id, contentType, framing string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Server-Stamp: stamp.%s.%s\r\n%s\r\n\r\n", contentType, id, s.ID, id, framing)
}

// PlainBody is the whole body of the plain answer to a request.
func PlainBody(id string) string { return "filed " + id + strings.Repeat(".", 800) + " end\n" }

func (s *server) plain(conn net.Conn, id string, o order) error {
	body := PlainBody(id)
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if !o.framed {
		framing = "Connection: close"
	}
	_, err := io.WriteString(conn, s.head(id, "application/json", framing)+body)
	return err
}

// Event returns event n of the stream that answers a request.
func Event(id string, n, events int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %d for %s\n\n", n, n, events, id)
}

// StreamBody is the whole body of the stream of events that answers a request.
func StreamBody(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(Event(id, n, events))
	}
	return b.String()
}

func (s *server) stream(conn net.Conn, req *http.Request, id string, o order) error {
	framing := "Transfer-Encoding: chunked"
	if !o.framed {
		framing = "Connection: close"
	}
	if _, err := io.WriteString(conn, s.head(id, "text/event-stream", framing)); err != nil {
		return err
	}
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= o.events; n++ {
		time.Sleep(o.gap)
		text := Event(id, n, o.events)
		if o.framed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	if !o.framed {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}
