package main

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/standin"
	"github.com/wigeonwood/wigeonwood/internal/testkit"
)

// Secrets and names in the fleets that tests run.
const (
	testToken    = "test-fleet-token"
	testKey      = "test-key"
	testCustomer = "kilang"
	testModel    = "draft"
	testService  = "returns"
	// childEnv is the variable that makes the test binary run as the program itself.
	childEnv = "TEST_WIGEONWOOD_CHILD"
)

// process is one instance as an operating system process.
type process struct {
	id      string
	dataDir string
	addrs   [4]string // caller, admin, peer, target
	args    []string
	logPath string
	// program is the path of the program that start runs, or empty for this build.
	program string

	// faultMu is held while a fault is injected at this process.
	faultMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *process) callerAddr() string { return p.addrs[0] }
func (p *process) adminAddr() string  { return p.addrs[1] }
func (p *process) peerAddr() string   { return p.addrs[2] }
func (p *process) targetAddr() string { return p.addrs[3] }

// start runs the program and appends its standard error to the log file.
func (p *process) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Error(err)
		return
	}
	defer logFile.Close()
	p.cmd = exec.Command(cmp.Or(p.program, os.Args[0]), p.args...)
	p.cmd.Env = append(os.Environ(), childEnv+"=1")
	p.cmd.Stderr = logFile
	if err := p.cmd.Start(); err != nil {
		t.Error(err)
	}
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	_ = p.wait()
}

// wait waits for the end of the process. It returns nil if none was started since the
// last call.
func (p *process) wait() error {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	return cmd.Wait()
}

// pid returns the process id, or 0 if the process does not run.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// processFleet is a fleet of instances in processes of their own, with stand-in
// targets in the test process.
type processFleet struct {
	dir       string
	instances []*process
	replicas  []*process
	engines   []*standin.Engine
	service   *standin.Service
	http      *http.Client
	contract  *pb.Contract
	// answerTokens is the number of tokens that the method chat requests.
	answerTokens int
	// filingDelay is the time that the service takes for one filing.
	filingDelay time.Duration
}

// startFleet starts control replicas and plain routers of this build. The processes end
// with the test.
func startFleet(t *testing.T, replicas, routers int) *processFleet {
	return startFleetOfProgram(t, "", replicas, routers)
}

// startFleetOfProgram starts a fleet like startFleet, with the program at a path or,
// if the path is empty, with this build.
func startFleetOfProgram(t *testing.T, program string, replicas, routers int) *processFleet {
	f := &processFleet{
		dir:          t.TempDir(),
		answerTokens: 5,
		http:         &http.Client{Timeout: httpTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	for i := range replicas + routers {
		p := &process{id: fmt.Sprintf("i%d", i+1), program: program}
		for j := range p.addrs {
			p.addrs[j] = testkit.FreeAddr(t)
		}
		p.logPath = filepath.Join(f.dir, p.id+".log")
		if i < replicas {
			p.dataDir = filepath.Join(f.dir, p.id)
			f.replicas = append(f.replicas, p)
		}
		f.instances = append(f.instances, p)
	}
	for i, p := range f.instances {
		p.args = f.args(p, fmt.Sprintf("dc%d", i%3+1))
		p.start(t)
	}
	t.Cleanup(func() { f.stop(t) })
	return f
}

// args returns the command line of p.
func (f *processFleet) args(p *process, dataCentre string) []string {
	var founders []string
	for _, r := range f.replicas {
		founders = append(founders, r.peerAddr())
	}
	args := []string{
		"serve", "--id=" + p.id, "--data-centre=" + dataCentre, "--log-level=warn", "--entry-keep=1s",
		"--listen=" + p.callerAddr(), "--admin-listen=" + p.adminAddr(), "--peer-listen=" + p.peerAddr(), "--target-listen=" + p.targetAddr(),
		"--peer-token=" + testToken, "--target-token=" + testToken, "--admin-token=" + testToken,
		"--founders=" + strings.Join(founders, ","),
	}
	if p.dataDir != "" {
		args = append(args, "--data-dir="+p.dataDir)
	}
	return args
}

// stop kills the running instances and, if the test failed, logs the ends of their
// logs.
func (f *processFleet) stop(t *testing.T) {
	for _, p := range f.instances {
		p.kill()
		if t.Failed() {
			data, _ := os.ReadFile(p.logPath)
			t.Logf("log of %s:\n%s", p.id, data[max(0, len(data)-maxLogBytes):])
		}
	}
	f.http.CloseIdleConnections()
}

const maxLogBytes = 3000

// startTargets runs stand-in engines and one stand-in service in the test process.
func (f *processFleet) startTargets(t *testing.T, engines int) {
	logger := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	run := func(id string, handler http.Handler, status func(*pb.TargetStatus)) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		target := &standin.Target{ID: id, FillStatus: status, Handler: handler, DataCentre: "dc1", Listener: l, Token: testToken, Logger: logger}
		for _, p := range f.instances {
			target.Routers = append(target.Routers, p.targetAddr())
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = target.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
	for i := range engines {
		e := standin.NewEngine(standin.EngineConfig{ID: fmt.Sprintf("e%d", i+1), Models: []string{testModel}, Capacity: 8, CacheChats: 100, PrefillDelay: 5 * time.Millisecond, TokenDelay: time.Millisecond})
		f.engines = append(f.engines, e)
		run(fmt.Sprintf("e%d", i+1), e.Handler(), e.FillStatus)
	}
	f.service = standin.NewService(standin.ServiceConfig{ID: "s1", Delay: f.filingDelay})
	run("s1", f.service.Handler(), f.service.StatusFunc(testService))
}

func (f *processFleet) adminClient(p *process) *admin.Client {
	return &admin.Client{Addr: p.adminAddr(), Token: testToken, HTTP: f.http}
}

// applyChange sends one change to p. Before it responds, p waits until the change is in
// force, for at most 8 s.
func (f *processFleet) applyChange(ctx context.Context, p *process, change *pb.ConfigChange) (*pb.ChangeAnswer, error) {
	answer := &pb.ChangeAnswer{}
	err := f.adminClient(p).Post(ctx, "/admin/v1/changes", url.Values{"wait_ms": {"8000"}}, change, answer)
	return answer, err
}

// waitReady applies the test contract and waits until every instance serves chats and
// calls of the service.
func (f *processFleet) waitReady(t *testing.T) {
	sum := sha256.Sum256([]byte(testKey))
	f.contract = &pb.Contract{Customer: testCustomer, KeyHashes: [][]byte{sum[:]}, Weight: 1, Limits: &pb.Limits{}, Objectives: &pb.Objectives{FirstTokenMs: 460, FirstTokenShare: 0.95, AnsweredShare: 0.99, NotRefusedShare: 0.99}}
	change := &pb.ConfigChange{OperationId: "first", Operator: "test", Object: &pb.ConfigChange_Contract{Contract: f.contract}}
	f.eventually(t, "the contract is accepted", func() error {
		_, err := f.applyChange(t.Context(), f.instances[0], change)
		return err
	})
	for _, p := range f.instances {
		f.eventually(t, p.id+" serves", func() error { return f.chat(t.Context(), p.callerAddr(), "hello") })
		f.eventually(t, p.id+" knows the service", func() error {
			_, status, err := sendRequest(http.MethodGet, "http://"+p.callerAddr()+"/v1/services/"+testService+"/filings", []string{"Authorization:Bearer " + testKey})
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("status %d", status)
			}
			return err
		})
	}
}

// eventually repeats check until it succeeds, and fails the test if it does not
// within pollTimeout.
func (f *processFleet) eventually(t *testing.T, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(pollTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s: %v", pollTimeout, what, err)
		}
		time.Sleep(pollInterval)
	}
}

// chat sends one streamed chat to addr. It returns a *wrongAnswer if the answer ends
// without an error but is truncated or belongs to another chat.
func (f *processFleet) chat(ctx context.Context, addr, content string) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, f.answerTokens, content)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, raw)
	}
	if !bytes.HasSuffix(bytes.TrimSpace(raw), []byte("data: [DONE]")) {
		return &wrongAnswer{text: fmt.Sprintf("a truncated answer ended without an error: %s", raw)}
	}
	if !bytes.Contains(raw, []byte(`answers \"`+content+`\"`)) {
		return &wrongAnswer{text: fmt.Sprintf("the answer to %q belongs to another chat: %s", content, raw)}
	}
	return nil
}

// wrongAnswer reports an answer that ended without an error but is truncated or belongs
// to another chat. No fault of an instance may cause such an answer.
type wrongAnswer struct{ text string }

func (w *wrongAnswer) Error() string { return w.text }
