package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// fullDetector returns a Detector with as many records, crashes and answered parts as it
// keeps.
func fullDetector() *Detector {
	d := NewDetector("r")
	now := start
	for i := range maxRecords {
		part := fmt.Sprintf("%032d", i)
		for c := range maxCrashes {
			crashIn(d, now.Add(time.Duration(c)*time.Millisecond), uint64(i*maxCrashes+c), part)
		}
	}
	for generation := range 2 {
		for i := range maxRecent {
			at := now.Add(time.Duration(generation) * recencyWindow)
			d.Observe(at, Trial{Parts: []string{fmt.Sprintf("%d-%030d", generation, i)}, Outcome: Answered})
		}
	}
	return d
}

// BenchmarkMemory reports the memory of a Detector at its bounds.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := fullDetector()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		runtime.KeepAlive(d)
	}
}

// BenchmarkTick decides on all records of a full Detector.
func BenchmarkTick(b *testing.B) {
	d := fullDetector()
	now := start.Add(2 * time.Minute)
	for b.Loop() {
		d.Tick(now)
	}
}

// BenchmarkAdmit decides on a request whose prompt has four parts, none of them held.
func BenchmarkAdmit(b *testing.B) {
	d := fullDetector()
	parts := []string{"first", "doc", "more", fmt.Sprintf("%032d", 7)}
	for b.Loop() {
		d.Admit(start, parts, never)
	}
}

// TestTickIsCheap checks that decisions on a full Detector take less than the share of a
// core that a daemon may use for control.
func TestTickIsCheap(t *testing.T) {
	const coreShare = 0.035
	d := fullDetector()
	now := start.Add(2 * time.Minute)
	best := time.Hour
	for range 20 {
		began := time.Now()
		d.Tick(now)
		best = min(best, time.Since(began))
	}
	if share := best.Seconds() / roundInterval.Seconds(); share > coreShare {
		t.Errorf("a decision takes %v, %.1f%% of a core, over %.1f%%", best, 100*share, 100*coreShare)
	}
}
