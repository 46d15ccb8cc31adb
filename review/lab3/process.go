package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// serverMode is the first argument of a process that is a stand-in for a server.
const serverMode = "server"

// The streams of a server process.
const (
	processEvents = 60
	processPause  = 100 * time.Millisecond
)

// serverProcess is a stand-in for a server that runs as a process of its own, so that it can be
// killed.
type serverProcess struct {
	id        string
	service   string
	zone      string
	addr      string
	announced string
	// controls are the addresses at which the server reaches the core machines.
	controls []string
	cmd      *exec.Cmd
}

// start starts the process, which announces itself as a new incarnation.
func (s *serverProcess) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	s.cmd = exec.Command(program, serverMode, "-id", s.id, "-service", s.service, "-zone", s.zone,
		"-addr", s.addr, "-announced", s.announced, "-controls", strings.Join(s.controls, ","))
	s.cmd.Stderr = os.Stderr
	return s.cmd.Start()
}

// kill kills the process.
func (s *serverProcess) kill() {
	if s.cmd != nil && s.cmd.Process != nil {
		_ = s.cmd.Process.Kill()
		_ = s.cmd.Wait()
	}
}

// runServer is the main function of a server process.
func runServer(args []string) int {
	flags := flag.NewFlagSet(serverMode, flag.ExitOnError)
	id := flags.String("id", "", "id")
	service := flags.String("service", "", "service")
	zone := flags.String("zone", "", "zone")
	addr := flags.String("addr", "", "address to listen at")
	announced := flags.String("announced", "", "address that routers use")
	controls := flags.String("controls", "", "addresses of the core machines")
	_ = flags.Parse(args)
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go heartbeats(*id, *service, *zone, *announced, strings.Split(*controls, ","))
	_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveStream(*id, w, r) }))
	return exitNotRun
}

// heartbeats announces the server to a random core machine, and to others if that does not answer.
func heartbeats(id, service, zone, announced string, controls []string) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{"service": service, "address": announced, "zone": zone, "version": "v1", "slots": 64,
			"state": "ready", "coldLeftMs": 0, "seq": sequence, "born": born})
		for _, i := range rand.Perm(len(controls)) {
			if status, _ := call(http.MethodPut, "http://"+controls[i]+"/api/instances/"+id, body); status/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeatTime)
	}
}

// serveStream sends a stream of events without a length, whose end is that of its connection.
func serveStream(id string, w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Wigeonwood-Request-Id")
	w.Header().Set("X-Wigeonwood-Request-Id", request)
	if r.Header.Get("X-Wigeonwood-Expect-Instance") != id {
		w.Header().Set("X-Wigeonwood-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Wigeonwood-Server-Stamp", "stamp."+id+"."+request)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Transfer-Encoding", "identity")
	w.WriteHeader(http.StatusOK)
	for n := range processEvents {
		if _, err := io.WriteString(w, event(n+1)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(processPause):
		}
	}
}
