package kit

import (
	"fmt"
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

// Ports of the machines. All machines use the same ports at different loopback addresses.
const (
	peerPort    = 17340
	frontPort   = 17341
	readyPort   = 17342
	controlPort = 17343
	lookupPort  = 17344
	metricsPort = 9464
	lockPort    = 17339
)

// firstRouter is the number of the first router; replicas have the numbers from 1 on.
const firstRouter = 10

// Fleet runs the project's processes and stand-in servers on loopback addresses.
type Fleet struct {
	Record *Record
	// Replicas and Routers are the numbers of the machines.
	Replicas, Routers []int

	root   string
	dir    string
	subnet string
	lock   net.Listener

	mu    sync.Mutex
	procs map[string]*Proc
}

// Proc is a process that the fleet started.
type Proc struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// state is set once done is closed.
	state *os.ProcessState
}

func newFleet(record *Record) (*Fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "wigeonwood")); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, root: root, dir: dir, procs: make(map[string]*Proc)}
	for range 200 {
		f.subnet = fmt.Sprintf("127.%d.%d", 80+rand.IntN(100), 1+rand.IntN(250))
		if f.lock, err = net.Listen("tcp", f.subnet+".250:"+fmt.Sprint(lockPort)); err == nil {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no loopback subnet is free: %w", err)
}

// close kills all processes that still run and removes the temporary folder.
func (f *Fleet) close() {
	f.mu.Lock()
	var procs []*Proc
	for _, p := range f.procs {
		procs = append(procs, p)
	}
	f.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	f.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// IP returns the address of machine n.
func (f *Fleet) IP(n int) string { return fmt.Sprintf("%s.%d", f.subnet, n) }

// Front returns the address at which router n serves clients.
func (f *Fleet) Front(n int) string { return fmt.Sprintf("%s:%d", f.IP(n), frontPort) }

// Control returns the control address of replica n.
func (f *Fleet) Control(n int) string { return fmt.Sprintf("%s:%d", f.IP(n), controlPort) }

// DataDir returns the data folder of replica n.
func (f *Fleet) DataDir(n int) string { return filepath.Join(f.dir, fmt.Sprintf("data-%d", n)) }

// LogFile returns the file with what machine n has written.
func (f *Fleet) LogFile(n int) string { return filepath.Join(f.dir, fmt.Sprintf("node-%d.log", n)) }

func (f *Fleet) settings(n int, bootstrap bool) string {
	ip := f.IP(n)
	zones := []string{"klang-a", "klang-b", "klang-c"}
	var seeds []string
	for _, s := range f.Replicas[:min(3, len(f.Replicas))] {
		seeds = append(seeds, fmt.Sprintf("%q", f.Control(s)))
	}
	var b strings.Builder
	put := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, serves, listen := "core", `["control_plane","registry"]`, fmt.Sprintf("control = %q\ndirectory = \"%s:%d\"", f.Control(n), ip, lookupPort)
	if n >= firstRouter {
		class, serves = "edge", `["edge","registry"]`
		listen = fmt.Sprintf("front = %q\nready = \"%s:%d\"\ndirectory = \"%s:%d\"", f.Front(n), ip, readyPort, ip, lookupPort)
	}
	put("nodeName = \"%s-%d\"", class, n)
	put("machineClass = %q", class)
	put("serves = %s", serves)
	put("ip = %q", ip)
	put("zone = %q", zones[n%3])
	put("region = \"klang-valley\"")
	put("internalPorts = [%d,%d]", peerPort, peerPort+15)
	put("seeds = [%s]", strings.Join(seeds, ","))
	put("bootstrap = %t", bootstrap)
	put("faultCounted = %t", n < firstRouter)
	put("discovery = \"register\"\nentry = \"registry\"\nheartbeatMs = 1200")
	put(`contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]`)
	put("configMode = \"highest\"")
	if n < firstRouter {
		put("dataDir = %q", f.DataDir(n))
	}
	put("[zones]\nklang-a = \"klang-valley\"\nklang-b = \"klang-valley\"\nklang-c = \"klang-valley\"")
	put("[listen]\n%s", listen)
	put("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 128")
	put("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0")
	put("[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8")
	put("lossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeSlackMs = 250\npartitionMaxMs = 5000\nrevokeStrict = false\nrevokeMs = 5000")
	put("retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 58\nrecoverS = 12\npassMs = 120\nreuseWindowS = 10\ncapFactor = 2\nttl_max_s = 5")
	return b.String()
}

// Start starts the process of machine n as the deploy file says. bootstrap is true only at the
// first start of the system.
func (f *Fleet) Start(n int, bootstrap bool) error {
	path := filepath.Join(f.dir, fmt.Sprintf("settings-%d.toml", n))
	if err := os.WriteFile(path, []byte(f.settings(n, bootstrap)), 0o600); err != nil {
		return err
	}
	if n < firstRouter {
		if err := os.MkdirAll(f.DataDir(n), 0o755); err != nil {
			return err
		}
	}
	cmd := exec.Command(filepath.Join(f.root, "target", "wigeonwood"), "platform")
	cmd.Env = append(baseEnv(),
		"WIGEONWOOD_PEER_TOKEN=wigeonwood-fleet",
		"WIGEONWOOD_ADMIN_TOKEN=wigeonwood-operators",
		fmt.Sprintf("WIGEONWOOD_METRICS_PORT=%d", metricsPort),
		"WIGEONWOOD_BOOT="+path,
	)
	f.Record.Printf("machine %d (%s) is started, bootstrap %t", n, f.IP(n), bootstrap)
	return f.start(fmt.Sprintf("node-%d", n), cmd)
}

func baseEnv() []string {
	var env []string
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if v, ok := os.LookupEnv(name); ok {
			env = append(env, name+"="+v)
		}
	}
	return env
}

// start starts a process whose output is appended to the log file of its name.
func (f *Fleet) start(name string, cmd *exec.Cmd) error {
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &Proc{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		p.state = cmd.ProcessState
		close(p.done)
	}()
	f.mu.Lock()
	f.procs[name] = p
	f.mu.Unlock()
	return nil
}

// Machine returns the current process of machine n.
func (f *Fleet) Machine(n int) *Proc { return f.Proc(fmt.Sprintf("node-%d", n)) }

// Proc returns the current process of this name.
func (f *Fleet) Proc(name string) *Proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name]
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has ended.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Ended waits up to d until the process has ended. It returns the exit code, and false if the
// process still runs.
func (p *Proc) Ended(d time.Duration) (code int, ended bool) {
	select {
	case <-p.done:
		return p.state.ExitCode(), true
	case <-time.After(d):
		return 0, false
	}
}

// StartAll starts replicas 1 to r and routers from firstRouter on for the first time, and
// waits until the configuration is acknowledged and all routers are ready.
func (f *Fleet) StartAll(replicas, routers int, config string) error {
	for n := 1; n <= replicas; n++ {
		f.Replicas = append(f.Replicas, n)
	}
	for n := range routers {
		f.Routers = append(f.Routers, firstRouter+n)
	}
	for _, n := range append(append([]int{}, f.Replicas...), f.Routers...) {
		if err := f.Start(n, true); err != nil {
			return err
		}
	}
	if err := Eventually(20*time.Second, "the first configuration is acknowledged", func() bool { return f.PutAny(config) == http.StatusOK }); err != nil {
		return err
	}
	for _, n := range f.Routers {
		if err := Eventually(15*time.Second, "a router is ready", func() bool { return f.IsReady(n) }); err != nil {
			return err
		}
	}
	f.Record.Printf("%d replicas and %d routers are ready", replicas, routers)
	return nil
}

// IsReady reports whether router n answers the readiness check with 200.
func (f *Fleet) IsReady(n int) bool {
	return Call(http.MethodGet, fmt.Sprintf("http://%s:%d/api/readyz", f.IP(n), readyPort), "", time.Second) == http.StatusOK
}

// Put sends a configuration to replica n and returns the status, zero without an answer.
func (f *Fleet) Put(n int, config string) int {
	return Call(http.MethodPut, "http://"+f.Control(n)+"/api/config", config, 4*time.Second)
}

// PutAny sends a configuration to one replica after another until one acknowledges it. It
// returns the last status.
func (f *Fleet) PutAny(config string) int {
	status := 0
	for _, n := range f.Replicas {
		if status = f.Put(n, config); status == http.StatusOK {
			break
		}
	}
	return status
}

var callClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Call makes one HTTP call and returns the status, zero without an answer.
func Call(method, url, body string, timeout time.Duration) int {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	client := *callClient
	client.Timeout = timeout
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Eventually polls ok until it returns true, and fails after the timeout.
func Eventually(timeout time.Duration, what string, ok func() bool) error {
	end := time.Now().Add(timeout)
	for !ok() {
		if time.Now().After(end) {
			return fmt.Errorf("not in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// LogOf returns what the process of this name has written.
func (f *Fleet) LogOf(name string) string {
	data, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	return strings.ReplaceAll(string(data), f.dir, "FOLDER")
}
