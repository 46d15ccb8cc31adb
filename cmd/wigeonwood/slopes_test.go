package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

var (
	slopeRouters       = flag.String("slopes.routers", "6", "numbers of plain routers that TestSlopes measures, with commas")
	slopeTargets       = flag.Int("slopes.targets", 14, "number of stand-in engines in TestSlopes, beside one service")
	slopePhaseDuration = flag.Duration("slopes.time", 5*time.Second, "length of each measured phase in TestSlopes")
	slopeTokens        = flag.Int("slopes.tokens", 5, "tokens of each answer in the loaded phase of TestSlopes")
	slopeCallers       = flag.Int("slopes.callers", 4, "callers at once in the loaded phase of TestSlopes")
)

// resourceUsage is what processes spent in one phase, for each process.
type resourceUsage struct {
	cpu      float64 // share of one core
	rss      float64 // MB
	sent     float64 // control bytes a second
	received float64
	sentBy   map[string]float64 // sent, by the counter's labels
}

// perSecond returns how much each counter grew a second, in bytes.
func perSecond(before, after map[string]float64, seconds float64) map[string]int {
	rates := make(map[string]int)
	for labels, value := range after {
		rates[labels] = int((value - before[labels]) / seconds)
	}
	return rates
}

// maxControlBytesPerSecond is the brief's bound on control traffic in bytes a second.
const maxControlBytesPerSecond = 4096

// TestSlopes holds control traffic to its budget at 9 instances and 15 targets,
// which its flags change, and measures what an instance spends when idle, under changes of
// configuration and under chats, against the number of routers.
func TestSlopes(t *testing.T) {
	t.Parallel()
	for text := range strings.SplitSeq(*slopeRouters, ",") {
		routers, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) { measureSlopes(t, routers) })
	}
}

func measureSlopes(t *testing.T, routers int) {
	f := startFleet(t, 3, routers)
	f.answerTokens = *slopeTokens
	f.startTargets(t, *slopeTargets)
	f.waitReady(t)
	time.Sleep(2 * time.Second)
	phases := []struct {
		name string
		load func(context.Context) int
	}{
		{"idle", func(ctx context.Context) int { <-ctx.Done(); return 0 }},
		{"changes", func(ctx context.Context) int { return f.changeSteadily(t, ctx) }},
		{"chats", func(ctx context.Context) int { return f.chatSteadily(t, ctx) }},
	}
	for _, phase := range phases {
		before := f.sampleUsage(t)
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), *slopePhaseDuration)
		done := phase.load(ctx)
		cancel()
		took := time.Since(started).Seconds()
		after := f.sampleUsage(t)
		replica, router := f.averageUsage(before, after, took)
		t.Logf("%d instances, %d targets, %s (%.1f/s): replica %.2f%% core %.0f MB %.0f B/s sent %.0f B/s received; router %.2f%% core %.0f MB %.0f B/s sent %.0f B/s received",
			len(f.instances), *slopeTargets+1, phase.name, float64(done)/took,
			replica.cpu*100, replica.rss, replica.sent, replica.received, router.cpu*100, router.rss, router.sent, router.received)
		for i, p := range f.instances {
			sent := (after[i].sent - before[i].sent) / took
			if sent > maxControlBytesPerSecond {
				t.Errorf("%s: %s sends %.0f control bytes a second, over %d: %v", phase.name, p.id, sent, maxControlBytesPerSecond, perSecond(before[i].sentBy, after[i].sentBy, took))
			}
		}
	}
}

// sampleUsage reads what each instance has spent so far.
func (f *processFleet) sampleUsage(t *testing.T) []resourceUsage {
	samples := make([]resourceUsage, len(f.instances))
	var reads sync.WaitGroup
	for i, p := range f.instances {
		reads.Go(func() {
			samples[i] = resourceUsage{cpu: cpuSeconds(t, p.pid()), rss: rssMB(t, p.pid())}
			f.controlBytes(t, p, &samples[i])
		})
	}
	reads.Wait()
	return samples
}

// averageUsage averages over the replicas and the routers.
func (f *processFleet) averageUsage(before, after []resourceUsage, seconds float64) (replica, router resourceUsage) {
	for i, p := range f.instances {
		sum, n := &router, float64(len(f.instances)-len(f.replicas))
		if p.dataDir != "" {
			sum, n = &replica, float64(len(f.replicas))
		}
		sum.cpu += (after[i].cpu - before[i].cpu) / seconds / n
		sum.rss += after[i].rss / n
		sum.sent += (after[i].sent - before[i].sent) / seconds / n
		sum.received += (after[i].received - before[i].received) / seconds / n
	}
	return replica, router
}

// clockTicks is the kernel's unit of processor time, in ticks a second.
const clockTicks = 100

func cpuSeconds(t *testing.T, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndex(string(data), ")")+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

func rssMB(t *testing.T, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// nonControlClasses are the classes of bytes that are no control traffic.
var nonControlClasses = []string{`class="replica"`, `class="request"`}

// controlBytes reads an instance's counters of control traffic.
func (f *processFleet) controlBytes(t *testing.T, p *process, u *resourceUsage) {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.adminAddr()+"/metrics", nil)
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := f.http.Do(req)
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	u.sentBy = make(map[string]float64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if strings.Contains(line, nonControlClasses[0]) || strings.Contains(line, nonControlClasses[1]) {
			continue
		}
		at := strings.LastIndex(line, " ")
		value, _ := strconv.ParseFloat(line[at+1:], 64)
		if labels, ok := strings.CutPrefix(line[:max(at, 0)], "wigeonwood_control_sent_bytes"); ok {
			u.sent += value
			u.sentBy[labels] = value
		}
		if strings.HasPrefix(line, "wigeonwood_control_received_bytes") {
			u.received += value
		}
	}
}

// changeSteadily makes one change after another, each in force before the next.
func (f *processFleet) changeSteadily(t *testing.T, ctx context.Context) int {
	contract := f.currentContract(t)
	var slowest, total time.Duration
	n := 0
	for ; ctx.Err() == nil; n++ {
		contract.Weight = uint32(n%10 + 1)
		started := time.Now()
		answer, err := f.applyChange(t.Context(), f.instances[0], &pb.ConfigChange{
			OperationId: fmt.Sprintf("slope-%d", n), Operator: "slopes", Replaces: contract.Revision,
			Object: &pb.ConfigChange_Contract{Contract: contract},
		})
		if err != nil {
			t.Error(err)
			return n
		}
		if !answer.InForce {
			t.Errorf("change %d is not in force at %v", n, answer.Waiting)
		}
		took := time.Since(started)
		total += took
		slowest = max(slowest, took)
		contract.Revision = answer.Result.Revision
	}
	t.Logf("changes in force after %v on average, %v at most", (total / time.Duration(max(n, 1))).Round(time.Millisecond), slowest.Round(time.Millisecond))
	return n
}

// chatSteadily has chats answered by all plain routers.
func (f *processFleet) chatSteadily(t *testing.T, ctx context.Context) int {
	routers := f.instances[len(f.replicas):]
	var done atomic.Int64
	var callers sync.WaitGroup
	for c := range *slopeCallers {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				p := routers[(c+i)%len(routers)]
				if err := f.chat(t.Context(), p.callerAddr(), fmt.Sprintf("slope-%d-%d", c, i%50)); err != nil {
					t.Error(err)
					return
				}
				done.Add(1)
			}
		})
	}
	callers.Wait()
	return int(done.Load())
}
