package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines. All machines use the same ports, at different loopback addresses.
const (
	peerPort    = 27346
	frontPort   = 27341
	readyPort   = 27342
	controlPort = 27343
	lookupPort  = 27344
	metricsPort = "27345"
	lockPort    = 27339
)

// errCase means that the case could not run; the script then exits with 2.
var errCase = errors.New("the case could not run")

// site is a small deployment: replicas, routers and servers, each a process of its own at a
// loopback address of its own.
type site struct {
	subnet   int
	dir      string
	lock     net.Listener
	replicas int
	routers  int

	mu     sync.Mutex
	procs  map[string]*exec.Cmd
	record *os.File
	began  time.Time
	// runs counts the runs by request id; ranAt and arrived hold the server and the time of the
	// last one. noticed holds when the notice of a server that it leaves was acknowledged.
	runs    map[string]int
	ranAt   map[string]string
	arrived map[string]time.Time
	noticed map[string]time.Time
}

// newSite locks a free loopback subnet and makes a temporary folder.
func newSite(recordPath string, replicas, routers int) (*site, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{
		dir: dir, replicas: replicas, routers: routers, record: record, began: time.Now(),
		procs: make(map[string]*exec.Cmd), runs: make(map[string]int), ranAt: make(map[string]string),
		arrived: make(map[string]time.Time), noticed: make(map[string]time.Time),
	}
	for range 200 {
		s.subnet = 1 + rand.IntN(250)
		s.lock, err = net.Listen("tcp", fmt.Sprintf("127.88.%d.250:%d", s.subnet, lockPort))
		if err == nil {
			return s, nil
		}
	}
	return nil, err
}

// logf writes a line to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started and removes its folder.
func (s *site) close() {
	s.mu.Lock()
	procs := s.procs
	s.procs = map[string]*exec.Cmd{}
	s.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	for _, p := range procs {
		_ = p.Wait()
	}
	s.lock.Close()
	s.record.Close()
	_ = os.RemoveAll(s.dir)
}

func (s *site) ip(n int) string { return fmt.Sprintf("127.88.%d.%d", s.subnet, n) }

// Replicas have the numbers 1 to 9, routers those from 10, servers those from 100.
func routerNumber(i int) int { return 10 + i }

// settings returns the text of the settings file of machine n, as DEPLOY.md shows it.
func (s *site) settings(n int, bootstrap bool) string {
	ip, role, class := s.ip(n), "replica", "core"
	if n >= 10 {
		role, class = "router", "edge"
	}
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip(i), controlPort)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = \"%s-%d\"\nrole = %q\nmachineClass = %q\n", class, n, role, class)
	fmt.Fprintf(&b, "ip = %q\nzone = \"zone-%d\"\nregion = \"region\"\ninternalPorts = [%d,%d]\nseeds = [%s]\n", ip, n%3, peerPort, peerPort+3, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "bootstrap = %t\nfaultCounted = %t\ndiscovery = \"register\"\nentry = \"registry\"\nheartbeatMs = 1200\nconfigMode = \"highest\"\n", bootstrap, n < 10)
	if n < 10 {
		fmt.Fprintf(&b, "dataDir = %q\n", filepath.Join(s.dir, fmt.Sprint("data-", n)))
	}
	b.WriteString("[zones]\nzone-0 = \"region\"\nzone-1 = \"region\"\nzone-2 = \"region\"\n[listen]\n")
	if n < 10 {
		fmt.Fprintf(&b, "control = \"%s:%d\"\ndirectory = \"%s:%d\"\n", ip, controlPort, ip, lookupPort)
		b.WriteString("[limits]\ncpuShare = 0.08\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 6.0\ndiskMb = 128\n")
	} else {
		fmt.Fprintf(&b, "front = \"%s:%d\"\nready = \"%s:%d\"\ndirectory = \"%s:%d\"\n", ip, frontPort, ip, readyPort, ip, lookupPort)
		b.WriteString("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
	}
	b.WriteString("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n")
	b.WriteString("seedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeSlackMs = 250\npartitionMaxMs = 5000\nrevokeStrict = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\nrecoverS = 12\npassMs = 120\nreuseWindowS = 10\ncapFactor = 2\nttl_max_s = 5\n")
	return b.String()
}

// start starts machine n as its role of deploy/system.toml says.
func (s *site) start(n int, bootstrap bool) error {
	path := filepath.Join(s.dir, fmt.Sprintf("settings-%d.toml", n))
	if err := os.WriteFile(path, []byte(s.settings(n, bootstrap)), 0o600); err != nil {
		return err
	}
	// The run and env of both roles in the deploy file.
	cmd := exec.Command("target/wigeonwood", "platform")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "WIGEONWOOD_BOOT=" + path, "WIGEONWOOD_PEER_TOKEN=wigeonwood-fleet",
		"WIGEONWOOD_ADMIN_TOKEN=wigeonwood-operators", "WIGEONWOOD_METRICS_PORT=" + metricsPort,
	}
	out, err := os.OpenFile(filepath.Join(s.dir, fmt.Sprintf("log-%d", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	return s.launch(fmt.Sprint(n), cmd)
}

func (s *site) launch(name string, cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.procs[name] = cmd
	return nil
}

// signal sends a signal to a process that the case started.
func (s *site) signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	cmd := s.procs[name]
	s.mu.Unlock()
	if cmd != nil {
		s.logf("signal %v to %s", sig, name)
		_ = cmd.Process.Signal(sig)
	}
}

// kill ends a process by SIGKILL and waits until it is gone.
func (s *site) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	s.mu.Lock()
	cmd := s.procs[name]
	delete(s.procs, name)
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait()
	}
}

// startAll starts the fleet, sends the first configuration and waits until the routers are ready.
func (s *site) startAll(config string) error {
	for n := 1; n <= s.replicas; n++ {
		if err := s.start(n, true); err != nil {
			return err
		}
	}
	for i := range s.routers {
		if err := s.start(routerNumber(i), true); err != nil {
			return err
		}
	}
	if !within(20*time.Second, func() bool { return s.put(1, config) == http.StatusOK }) {
		return fmt.Errorf("%w: the first configuration was not acknowledged", errCase)
	}
	for i := range s.routers {
		url := fmt.Sprintf("http://%s:%d/api/readyz", s.ip(routerNumber(i)), readyPort)
		if !within(15*time.Second, func() bool { return status(http.MethodGet, url, "") == http.StatusOK }) {
			return fmt.Errorf("%w: router %d is not ready", errCase, i)
		}
	}
	s.logf("the fleet serves: %d replicas, %d routers", s.replicas, s.routers)
	return nil
}

func (s *site) put(n int, config string) int {
	return status(http.MethodPut, fmt.Sprintf("http://%s:%d/api/config", s.ip(n), controlPort), config)
}

// within calls ok until it returns true, for at most d.
func within(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

var plainClient = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status makes a call and returns its status, zero if there is no answer.
func status(method, url, body string) int {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := plainClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
