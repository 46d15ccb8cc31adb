package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings that the platform writes.
const (
	contactTime     = 3 * time.Second
	drainTime       = 2 * time.Second
	configApplyTime = 2 * time.Second
	heartbeatTime   = 1200 * time.Millisecond
)

// ports are the ports of the machines, which are the same on all of them.
type ports struct{ peer, caller, ready, control, lookup, metrics int }

// machine is one machine of the deployment, with the process that runs on it.
type machine struct {
	name  string
	ip    string
	zone  string
	core  bool
	log   string
	ports ports

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	ended   chan struct{}
}

func (m *machine) callerAddr() string  { return fmt.Sprintf("%s:%d", m.ip, m.ports.caller) }
func (m *machine) controlAddr() string { return fmt.Sprintf("%s:%d", m.ip, m.ports.control) }
func (m *machine) lookupAddr() string  { return fmt.Sprintf("%s:%d", m.ip, m.ports.lookup) }
func (m *machine) readyAddr() string   { return fmt.Sprintf("%s:%d", m.ip, m.ports.ready) }

// fleet is a small deployment: replicas on core machines and routers on edge machines, each a
// process of its own on a loopback address.
type fleet struct {
	program string
	dir     string
	ports   ports
	cores   []*machine
	edges   []*machine
	lock    net.Listener
}

// zones are the zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// newFleet claims a free subnet of loopback addresses and free ports for a deployment.
func newFleet(program, dir string, cores, edges int) (*fleet, error) {
	f := &fleet{program: program, dir: dir}
	subnet, err := f.claimSubnet()
	if err != nil {
		return nil, err
	}
	for i := range cores {
		f.cores = append(f.cores, f.newMachine("core", i, fmt.Sprintf("127.79.%d.%d", subnet, i+1), true))
	}
	for i := range edges {
		f.edges = append(f.edges, f.newMachine("edge", i, fmt.Sprintf("127.79.%d.%d", subnet, i+101), false))
	}
	return f, nil
}

func (f *fleet) newMachine(class string, i int, ip string, core bool) *machine {
	name := fmt.Sprintf("%s-%s-%d", class, zones[i%len(zones)], i/len(zones)+1)
	return &machine{name: name, ip: ip, zone: zones[i%len(zones)], core: core, ports: f.ports, log: filepath.Join(f.dir, name+".log")}
}

// claimSubnet locks a subnet by listening on one of its addresses, and selects ports that are
// free on that address.
func (f *fleet) claimSubnet() (int, error) {
	const lockPort, subnets = 17338, 250
	for i := range subnets {
		subnet := 1 + (os.Getpid()+i)%subnets
		ln, err := net.Listen("tcp", fmt.Sprintf("127.79.%d.250:%d", subnet, lockPort))
		if err != nil {
			continue
		}
		f.lock = ln
		free, err := freePorts(fmt.Sprintf("127.79.%d.251", subnet), 6)
		if err != nil {
			return 0, err
		}
		f.ports = ports{free[0], free[1], free[2], free[3], free[4], free[5]}
		return subnet, nil
	}
	return 0, errors.New("no subnet is free")
}

func freePorts(ip string, n int) ([]int, error) {
	var list []int
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		list = append(list, ln.Addr().(*net.TCPAddr).Port)
	}
	return list, nil
}

func (f *fleet) machines() []*machine { return slices.Concat(f.cores, f.edges) }

// settings returns the settings file of a machine.
func (f *fleet) settings(m *machine, bootstrap bool) string {
	var seeds []string
	for _, c := range f.cores[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", c.controlAddr()))
	}
	var b strings.Builder
	class, serves := "edge", `["edge","registry"]`
	if m.core {
		class, serves = "core", `["control_plane","registry"]`
	}
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = %s\nip = %q\nzone = %q\nregion = \"region-1\"\n", m.name, class, class, serves, m.ip, m.zone)
	fmt.Fprintf(&b, "internalPorts = [%d,%d]\nseeds = [%s]\nbootstrap = %t\nfaultCounted = %t\n", m.ports.peer, m.ports.peer, strings.Join(seeds, ","), bootstrap, m.core)
	fmt.Fprintf(&b, "discovery = \"register\"\nentry = \"registry\"\nheartbeatMs = %d\n", heartbeatTime.Milliseconds())
	if m.core {
		fmt.Fprintf(&b, "dataDir = %q\n", filepath.Join(f.dir, "data-"+m.name))
	}
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\nconfigMode = \"highest\"\n[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&b, "%s = \"region-1\"\n", zone)
	}
	b.WriteString("[listen]\n")
	if m.core {
		fmt.Fprintf(&b, "control = %q\ndirectory = %q\n", m.controlAddr(), m.lookupAddr())
	} else {
		fmt.Fprintf(&b, "front = %q\nready = %q\ndirectory = %q\n", m.callerAddr(), m.readyAddr(), m.lookupAddr())
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n")
	b.WriteString("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n")
	fmt.Fprintf(&b, "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = %d\nackMs = 4000\ncatchUpS = 4\ndrainMs = %d\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = %d\n",
		contactTime.Milliseconds(), drainTime.Milliseconds(), configApplyTime.Milliseconds())
	b.WriteString("downgradeSlackMs = 250\npartitionMaxMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\nrecoverS = 12\npassMs = 120\nreuseWindowS = 10\ncapFactor = 2\nttl_max_s = 5\n")
	return b.String()
}

// start starts the process of a machine with the command and the environment of the deploy file.
func (f *fleet) start(m *machine, bootstrap bool) error {
	path := filepath.Join(f.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(f.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	if m.core {
		if err := os.MkdirAll(filepath.Join(f.dir, "data-"+m.name), 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd = exec.Command(f.program, "platform")
	m.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C",
		"WIGEONWOOD_BOOT=" + path,
		"WIGEONWOOD_PEER_TOKEN=wigeonwood-fleet", "WIGEONWOOD_ADMIN_TOKEN=wigeonwood-operators",
		fmt.Sprintf("WIGEONWOOD_METRICS_PORT=%d", m.ports.metrics),
	}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.started = time.Now()
	cmd, ended := m.cmd, make(chan struct{})
	m.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// wait waits until the process of a machine has ended.
func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// startAll starts all machines.
func (f *fleet) startAll(bootstrap bool) error {
	for _, m := range f.machines() {
		if err := f.start(m, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills the processes of the given machines at once.
func killAll(machines []*machine) {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.wait()
	}
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.machines() {
		m.signal(syscall.SIGCONT)
	}
	killAll(f.machines())
	f.lock.Close()
}

// controlClient makes the calls of operators and servers.
var controlClient = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// call makes a call and returns the status, zero if there was no answer, and the body.
func call(method, url string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// put sends a configuration to the core machines in turn until one acknowledges it.
func (f *fleet) put(document []byte, within time.Duration) (acknowledgedBy *machine, err error) {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		m := f.cores[i%len(f.cores)]
		status, text := call(http.MethodPut, "http://"+m.controlAddr()+"/api/config", document)
		switch {
		case status == http.StatusOK:
			return m, nil
		case status == http.StatusBadRequest:
			return nil, fmt.Errorf("the configuration is refused: %s", text)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("no machine acknowledged the configuration")
}

// awaitReady waits until all routers say that they are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range f.edges {
		for {
			if status, _ := call(http.MethodGet, "http://"+m.readyAddr()+"/api/readyz", nil); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
