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
	chaosOverlap  = flag.Bool("chaos.twice", true, "bring about a second kill or freeze during each fault in TestChaos")
	chaosDuration = flag.Duration("chaos.time", 20*time.Second, "length of the faulty part of TestChaos")
)

// chaosFilingDelay is long enough for faults to strike while filings run.
const chaosFilingDelay = 300 * time.Millisecond

// outcomeCounts counts what callers were told.
type outcomeCounts struct {
	chats, chatFailures      atomic.Int64
	filings, unknown, notRun atomic.Int64
	changes, faults          atomic.Int64

	mu sync.Mutex
	// chatFailuresByCode counts the failed chats by what the caller saw.
	chatFailuresByCode map[string]int
}

// addChatFailure counts one failed chat by the kind of its error.
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

// filingState is what a caller was last told of one key.
type filingState struct {
	key string
	// created tells that a 201 arrived; notRun that every answer said not-run.
	created bool
	notRun  bool
	tries   int
}

// TestChaos runs processes under random kills, freezes and lost disks while
// callers chat and file and an operator changes contracts. No filing may run
// twice, no refusal may lie, no answer may be cut or another's without the
// caller seeing it, and no accepted change may be lost.
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
	t.Logf("seed %d: %d faults; %d chats answered, %d seen to fail; %d filings done, %d unknown, %d not run; %d changes",
		*chaosSeed, counts.faults.Load(), counts.chats.Load(), counts.chatFailures.Load(),
		counts.filings.Load(), counts.unknown.Load(), counts.notRun.Load(), counts.changes.Load())
	t.Logf("failed chats: %v", counts.chatFailuresByCode)
	if counts.filings.Load() == 0 || counts.chats.Load() == 0 || counts.changes.Load() == 0 {
		t.Fatal("nothing got through")
	}
}

// injectFaults brings about one fault at a time until ctx ends, then repairs.
// Only lane 0 loses disks, since two lost at once may rightly lose the state.
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

func (f *processFleet) injectFault(t *testing.T, ctx context.Context, p *process, random *rand.Rand, disks bool) {
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
		if !disks || p.dataDir == "" {
			return
		}
		t.Logf("lose the disk of %s", p.id)
		f.wipeDisk(t, p)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// wipeDisk empties a replica's folder and waits until it votes again, since a
// second loss before that may rightly cost the quorum.
func (f *processFleet) wipeDisk(t *testing.T, p *process) {
	p.kill()
	if err := os.RemoveAll(p.dataDir); err != nil {
		t.Error(err)
	}
	p.start(t)
	f.eventually(t, p.id+" votes again", func() error {
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

// sendFilings files returns, each with a key, and sends each again to other
// routers until it is told an end: done, or unknown.
func (f *processFleet) sendFilings(t *testing.T, ctx context.Context, caller int, counts *outcomeCounts) []*filingState {
	random := rand.New(rand.NewPCG(*chaosSeed, uint64(200+caller)))
	var all []*filingState
	for i := 0; ctx.Err() == nil; i++ {
		one := &filingState{key: fmt.Sprintf("filing-%d-%d", caller, i), notRun: true}
		all = append(all, one)
		for ctx.Err() == nil && one.tries < 20 {
			p := f.instances[random.IntN(len(f.instances))]
			if f.sendFiling(t, p.callerAddr(), one, counts) {
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	return all
}

// sendFiling sends one filing and tells whether the answer is final.
func (f *processFleet) sendFiling(t *testing.T, addr string, one *filingState, counts *outcomeCounts) bool {
	one.tries++
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/services/"+testService+"/filings", strings.NewReader(one.key))
	if err != nil {
		t.Error(err)
		return true
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", one.key)
	// The test's own client must not send the request twice by itself.
	req.GetBody = nil
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		one.notRun = false
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		one.notRun = false
		return false
	}
	outcome := resp.Header.Get("X-Wigeonwood-Outcome")
	if outcome != "not-run" {
		one.notRun = false
	}
	switch {
	case resp.StatusCode == http.StatusCreated:
		one.created = true
		counts.filings.Add(1)
		checkFilingBody(t, one, body)
		return true
	case outcome == "not-run":
		counts.notRun.Add(1)
	case outcome == "unknown":
		counts.unknown.Add(1)
	}
	return false
}

func checkFilingBody(t *testing.T, one *filingState, body []byte) {
	var answer struct {
		Key  string `json:"key"`
		Body string `json:"body"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Key != one.key || answer.Body != one.key {
		t.Errorf("the answer to %s is %s", one.key, body)
	}
}

// checkFilings compares what callers were told with what the service ran.
func (f *processFleet) checkFilings(t *testing.T, all [][]*filingState) {
	runs := make(map[string]int)
	for _, run := range f.service.Filings() {
		runs[run.Key]++
	}
	for _, list := range all {
		for _, one := range list {
			n := runs[one.key]
			switch {
			case n > 1:
				t.Errorf("%s ran %d times", one.key, n)
			case one.created && n == 0:
				t.Errorf("%s was answered, but never ran", one.key)
			case one.notRun && n > 0:
				t.Errorf("%s was only ever refused as not run, but ran", one.key)
			}
		}
	}
}

// sendChanges changes the contract's weight again and again, and returns the
// last accepted revision. A change whose answer is lost is sent again.
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

func (f *processFleet) currentContract(t *testing.T) *pb.Contract {
	reply := &pb.QueryReply{}
	f.eventually(t, "the contract is read", func() error {
		return f.adminClient(f.instances[len(f.instances)-1]).Get(t.Context(), "/admin/v1/contracts", nil, reply)
	})
	return reply.Contracts[0]
}

// checkContract checks that no accepted change was lost.
func (f *processFleet) checkContract(t *testing.T, last uint64) {
	if got := f.currentContract(t).Revision; got < last {
		t.Errorf("the contract is at revision %d, but %d was accepted", got, last)
	}
}
