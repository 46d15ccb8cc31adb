package cost

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// learned returns an estimator that has observed requests of two routes at an engine that
// reads 100 tokens per ms and needs 2 ms for each request in flight, with noise.
func learned() *Estimator {
	rng := rand.New(rand.NewPCG(5, 1))
	e := &Estimator{}
	for range 800 {
		r := Request{Route: "short", Team: "red", PromptTokens: 200 + rng.IntN(9000), Hint: 50 + rng.IntN(100)}
		run := time.Duration(r.Hint) * 3 * time.Millisecond
		if rng.IntN(2) == 0 {
			r.Route, run = "long", 10*run
		}
		inFlight := rng.IntN(24)
		first := 5 + 2*float64(inFlight) + float64(r.PromptTokens)/100 + 6*rng.NormFloat64()
		e.Observe(r, Observation{FirstEvent: milliseconds(max(0, first)), Run: run, InFlight: inFlight, Pace: 1})
	}
	return e
}

// TestEstimatesAreLearned checks that the speed of an engine is found without configuration,
// and that neither false hints nor a stalled response distort the estimates.
func TestEstimatesAreLearned(t *testing.T) {
	e := learned()
	r := Request{Route: "short", Team: "red", PromptTokens: 6000, SharedTokens: 4000}
	w := e.Work(r)
	if !within(w.Read, 20*time.Millisecond, 0.15) || !within(w.Reread, 40*time.Millisecond, 0.15) {
		t.Errorf("2,000 tokens take %v and 4,000 take %v, want 20 and 40 ms", w.Read, w.Reread)
	}
	if d := e.Wait(20) - e.Wait(0); !within(d, 40*time.Millisecond, 0.2) {
		t.Errorf("20 requests in flight take %v, want 40 ms", d)
	}
	r.Hint = 1 << 30
	if high := e.Work(r); high.Run > w.Run+2*w.Spread {
		t.Errorf("a false hint takes the run time from %v to %v with a deviation of %v", w.Run, high.Run, w.Spread)
	}
	e.Observe(r, Observation{FirstEvent: 50 * time.Second, Run: 50 * time.Second, Pace: 1})
	if after := e.Work(r); !within(after.Read, 20*time.Millisecond, 0.25) {
		t.Errorf("one stalled response takes the reading time from %v to %v", w.Read, after.Read)
	}
	if unknown := (&Estimator{}).Work(r); unknown != (Work{}) {
		t.Errorf("without observations the work is %+v", unknown)
	}
}

// TestPaceDecaysAndIsBounded guards against old and false reports that keep deciding.
func TestPaceDecaysAndIsBounded(t *testing.T) {
	p := &Paces{}
	p.Learn(start, Report{Target: 1, Percent: 250, At: start.Add(-100 * time.Millisecond)})
	p.Learn(start, Report{Target: 2, Percent: 1 << 30, At: start})
	p.Learn(start, Report{Target: 3, Percent: 250, At: start.Add(-3 * time.Second)})
	fresh, old := p.Pace(start, 1), p.Pace(start.Add(2*time.Second), 1)
	if fresh < 2 || fresh > 2.5 || math.Abs(old-1) > 0.05 {
		t.Errorf("a report of 250%% gives the pace %.2f, and %.2f after two seconds", fresh, old)
	}
	if high, expired := p.Pace(start, 2), p.Pace(start, 3); high > maxPace || expired != 1 {
		t.Errorf("a false report gives the pace %.2f, an old one %.2f", high, expired)
	}
	// A target that reports 250% all the time and is as fast as the others.
	at := start
	for range 300 {
		at = at.Add(100 * time.Millisecond)
		p.Observe(Report{Target: 4, Percent: 250, At: at})
		p.Check(4, 1)
	}
	if usual := p.Pace(at.Add(maxReportAge), 4); usual > checkTolerance+0.01 {
		t.Errorf("the usual pace of a target with false reports is %.2f", usual)
	}
}

// TestReportsToSend checks that nothing is sent while all targets report the usual pace, and
// that the end of an unusual one is sent once.
func TestReportsToSend(t *testing.T) {
	p := &Paces{}
	p.Observe(Report{Target: 1, Percent: 100, At: start})
	p.Observe(Report{Target: 2, Percent: 119, At: start})
	if seen, spread := p.TakeSeen(start, 64), p.TakeLearned(start, 64); len(seen)+len(spread) > 0 {
		t.Errorf("usual paces are sent: %v, %v", seen, spread)
	}
	p.Observe(Report{Target: 1, Percent: 250, At: start.Add(1)})
	if seen, spread := p.TakeSeen(start, 64), p.TakeLearned(start, 64); len(seen) != 1 || len(spread) != 1 {
		t.Errorf("of one unusual pace %v and %v are sent", seen, spread)
	}
	p.Observe(Report{Target: 1, Percent: 100, At: start.Add(2)})
	seen, again := p.TakeSeen(start, 64), p.TakeSeen(start, 64)
	if spread := p.TakeLearned(start, 64); len(seen) != 1 || len(spread) != 1 || len(again)+len(p.TakeLearned(start, 64)) > 0 {
		t.Errorf("of the end of an unusual pace %v, %v and %v are sent", seen, again, spread)
	}
}

func within(d, want time.Duration, tolerance float64) bool {
	return math.Abs(float64(d-want)) <= tolerance*float64(want)
}
