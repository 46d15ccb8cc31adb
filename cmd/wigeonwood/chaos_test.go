package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

var (
	chaosSeed     = flag.Uint64("chaos.seed", 1, "seed of the faults in TestChaos")
	chaosOverlap  = flag.Bool("chaos.twice", true, "run a second sequence of kills and freezes that overlaps the first in TestChaos")
	chaosDuration = flag.Duration("chaos.time", 20*time.Second, "duration of the fault injection in TestChaos")
)

// chaosFilingDelay is long enough for faults to occur while filings run.
const chaosFilingDelay = 300 * time.Millisecond

// outcomeCounts counts what callers received.
type outcomeCounts struct {
	chats, chatFailures      atomic.Int64
	filings, unknown, notRun atomic.Int64
	changes, faults          atomic.Int64

	mu sync.Mutex
	// chatFailuresByCode is keyed by the error code of the answer or, without one, by
	// the last part of the client's error.
	chatFailuresByCode map[string]int
}

// addChatFailure counts one failed chat.
func (o *outcomeCounts) addChatFailure(err error) {
	o.chatFailures.Add(1)
	text := err.Error()
	if _, after, ok := strings.Cut(text, `"code":"`); ok {
		text, _, _ = strings.Cut(after, `"`)
	} else if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chatFailuresByCode[text]++
}

// filingState is the state of one filing as its caller knows it.
type filingState struct {
	key string
	// created is set if a 201 arrived, notRun if every answer had the outcome
	// not-run.
	created bool
	notRun  bool
	tries   int
}

// TestChaos kills and freezes random instances and wipes their disks while callers
// send chats and filings and an operator changes a contract. It guards against
// filings that run twice, filings that ran although every answer said not-run,
// answers that are truncated or belong to another request without an error, and lost
// accepted changes.
func TestChaos(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 3)
	f.filingDelay = chaosFilingDelay
	f.startTargets(t, 3)
	f.waitReady(t)
	ctx, cancel := context.WithTimeout(t.Context(), *chaosDuration)
	defer cancel()
	counts := outcomeCounts{chatFailuresByCode: make(map[string]int)}
	var work sync.WaitGroup
	filings := make([][]*filingState, 4)
	for i := range filings {
		work.Go(func() { filings[i] = f.sendFilings(t, ctx, i, &counts) })
		work.Go(func() { f.sendChats(t, ctx, i, &counts) })
	}
	var last uint64
	work.Go(func() { last = f.sendChanges(t, ctx, &counts) })
	if *chaosOverlap {
		work.Go(func() { f.injectFaults(t, ctx, &counts, 1) })
	}
	f.injectFaults(t, ctx, &counts, 0)
	work.Wait()
	f.checkFilings(t, filings)
	f.checkContract(t, last)
	for _, p := range f.instances {
		f.eventually(t, p.id+" serves after the faults", func() error { return f.chat(t.Context(), p.callerAddr(), "after") })
	}
	t.Logf("seed %d: %d faults; %d chats answered, %d failed; %d filings created, %d unknown, %d not run; %d changes",
		*chaosSeed, counts.faults.Load(), counts.chats.Load(), counts.chatFailures.Load(),
		counts.filings.Load(), counts.unknown.Load(), counts.notRun.Load(), counts.changes.Load())
	t.Logf("failed chats: %v", counts.chatFailuresByCode)
	if counts.filings.Load() == 0 || counts.chats.Load() == 0 || counts.changes.Load() == 0 {
		t.Fatal("no chat, no filing or no change succeeded")
	}
}

// injectFaults injects and repairs one fault after another until ctx ends. Each lane is
// one of the concurrent sequences of faults and has its own random numbers. Only lane 0
// wipes disks, since the loss of two disks at the same time may legitimately lose the
// state.
func (f *processFleet) injectFaults(t *testing.T, ctx context.Context, counts *outcomeCounts, lane uint64) {
	random := rand.New(rand.NewPCG(*chaosSeed, lane))
	for ctx.Err() == nil {
		p := f.instances[random.IntN(len(f.instances))]
		if !p.faultMu.TryLock() {
			sleep(ctx, pollInterval)
			continue
		}
		f.injectFault(t, ctx, p, random, lane == 0)
		p.faultMu.Unlock()
		counts.faults.Add(1)
		sleep(ctx, time.Duration(500+random.IntN(1500))*time.Millisecond)
	}
}

// injectFault injects one random fault at p and repairs it. It wipes the disk of p only
// if wipeDisks is set.
func (f *processFleet) injectFault(t *testing.T, ctx context.Context, p *process, random *rand.Rand, wipeDisks bool) {
	switch random.IntN(4) {
	case 0:
		t.Logf("kill and restart %s", p.id)
		p.kill()
		sleep(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
		p.start(t)
	case 1, 2:
		length := time.Duration(200+random.IntN(5000)) * time.Millisecond
		t.Logf("freeze %s for %v", p.id, length)
		p.signal(syscall.SIGSTOP)
		sleep(ctx, length)
		p.signal(syscall.SIGCONT)
	case 3:
		if !wipeDisks || p.dataDir == "" {
			return
		}
		t.Logf("wipe the disk of %s", p.id)
		f.wipeDisk(t, p)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// wipeDisk restarts a replica with an empty data folder and waits until it is a voter
// again, since a second loss before that may legitimately cost the quorum.
func (f *processFleet) wipeDisk(t *testing.T, p *process) {
	p.kill()
	if err := os.RemoveAll(p.dataDir); err != nil {
		t.Error(err)
	}
	p.start(t)
	f.eventually(t, p.id+" is a voter again", func() error {
		reply := &pb.QueryReply{}
		if err := f.adminClient(p).Get(t.Context(), "/admin/v1/replicas", nil, reply); err != nil {
			return err
		}
		voters, found := 0, false
		for _, r := range reply.Replicas {
			if !r.Learner {
				voters++
				found = found || r.Addr == p.peerAddr()
			}
		}
		if !found || voters != len(f.replicas) {
			return fmt.Errorf("replicas %v", reply.Replicas)
		}
		return nil
	})
}

// sendChats sends chats to random instances until ctx ends.
func (f *processFleet) sendChats(t *testing.T, ctx context.Context, caller int, counts *outcomeCounts) {
	random := rand.New(rand.NewPCG(*chaosSeed, uint64(100+caller)))
	for i := 0; ctx.Err() == nil; i++ {
		p := f.instances[random.IntN(len(f.instances))]
		callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		err := f.chat(callCtx, p.callerAddr(), fmt.Sprintf("chat-%d-%d", caller, i))
		cancel()
		var wrong *wrongAnswer
		switch {
		case errors.As(err, &wrong):
			t.Errorf("at %s: %v", p.id, err)
		case err != nil:
			counts.addChatFailure(err)
			sleep(ctx, 50*time.Millisecond)
		default:
			counts.chats.Add(1)
		}
	}
}

// sendFilings sends filings, each with its own idempotency key, until ctx ends. It
// repeats each filing at random routers until an answer with status 201 arrives, at
// most 20 times.
func (f *processFleet) sendFilings(t *testing.T, ctx context.Context, caller int, counts *outcomeCounts) []*filingState {
	random := rand.New(rand.NewPCG(*chaosSeed, uint64(200+caller)))
	var all []*filingState
	for i := 0; ctx.Err() == nil; i++ {
		state := &filingState{key: fmt.Sprintf("filing-%d-%d", caller, i), notRun: true}
		all = append(all, state)
		for ctx.Err() == nil && state.tries < 20 {
			p := f.instances[random.IntN(len(f.instances))]
			if f.sendFiling(t, p.callerAddr(), state, counts) {
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	return all
}

// sendFiling sends one filing and reports whether it needs no repetition.
func (f *processFleet) sendFiling(t *testing.T, addr string, state *filingState, counts *outcomeCounts) bool {
	state.tries++
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/services/"+testService+"/filings", strings.NewReader(state.key))
	if err != nil {
		t.Error(err)
		return true
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", state.key)
	// Without GetBody the HTTP client of the test cannot repeat the request by itself.
	req.GetBody = nil
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		state.notRun = false
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		state.notRun = false
		return false
	}
	outcome := resp.Header.Get("X-Wigeonwood-Outcome")
	if outcome != "not-run" {
		state.notRun = false
	}
	switch {
	case resp.StatusCode == http.StatusCreated:
		state.created = true
		counts.filings.Add(1)
		checkFilingBody(t, state, body)
		return true
	case outcome == "not-run":
		counts.notRun.Add(1)
	case outcome == "unknown":
		counts.unknown.Add(1)
	}
	return false
}

// checkFilingBody checks that the body of a 201 belongs to the filing.
func checkFilingBody(t *testing.T, state *filingState, body []byte) {
	var answer struct {
		Key  string `json:"key"`
		Body string `json:"body"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Key != state.key || answer.Body != state.key {
		t.Errorf("the answer to %s is %s", state.key, body)
	}
}

// checkFilings compares the answers that callers received with the filings that the
// service ran.
func (f *processFleet) checkFilings(t *testing.T, all [][]*filingState) {
	runs := make(map[string]int)
	for _, run := range f.service.Filings() {
		runs[run.Key]++
	}
	for _, list := range all {
		for _, state := range list {
			n := runs[state.key]
			switch {
			case n > 1:
				t.Errorf("%s ran %d times", state.key, n)
			case state.created && n == 0:
				t.Errorf("%s was answered with 201, but never ran", state.key)
			case state.notRun && n > 0:
				t.Errorf("every answer to %s said not-run, but it ran", state.key)
			}
		}
	}
}

// sendChanges changes the weight of the contract repeatedly until ctx ends, and
// returns the last accepted revision. It repeats a change whose answer is lost.
func (f *processFleet) sendChanges(t *testing.T, ctx context.Context, counts *outcomeCounts) (last uint64) {
	random := rand.New(rand.NewPCG(*chaosSeed, 300))
	contract := f.currentContract(t)
	last = contract.Revision
	for i := 0; ctx.Err() == nil; i++ {
		contract.Weight = uint32(i%10 + 1)
		change := &pb.ConfigChange{
			OperationId: fmt.Sprintf("change-%d", i),
			Operator:    "chaos",
			Replaces:    last,
			Object:      &pb.ConfigChange_Contract{Contract: contract},
		}
		for ctx.Err() == nil {
			answer, err := f.applyChange(ctx, f.instances[random.IntN(len(f.instances))], change)
			if err != nil {
				sleep(ctx, 50*time.Millisecond)
				continue
			}
			if answer.Result.Revision <= last {
				t.Errorf("revision %d was accepted after %d", answer.Result.Revision, last)
			}
			last = answer.Result.Revision
			counts.changes.Add(1)
			break
		}
	}
	return last
}

// currentContract returns the contract as the last instance of the fleet reads it.
func (f *processFleet) currentContract(t *testing.T) *pb.Contract {
	reply := &pb.QueryReply{}
	f.eventually(t, "the contract can be read", func() error {
		return f.adminClient(f.instances[len(f.instances)-1]).Get(t.Context(), "/admin/v1/contracts", nil, reply)
	})
	return reply.Contracts[0]
}

// checkContract checks that no accepted change was lost.
func (f *processFleet) checkContract(t *testing.T, last uint64) {
	if got := f.currentContract(t).Revision; got < last {
		t.Errorf("the contract is at revision %d, but revision %d was accepted", got, last)
	}
}
