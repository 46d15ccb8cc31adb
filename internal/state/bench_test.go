package state

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureSnapshot reports size and time of writing and restoring.
func measureSnapshot(b *testing.B, s *testMachine) {
	var buf bytes.Buffer
	start := time.Now()
	if err := s.Snapshot(&buf); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "snapshot-ms")
	b.ReportMetric(float64(buf.Len())/(1<<20), "snapshot-MiB")
	start = time.Now()
	if err := New(WithBounds(s.bounds)).Restore(bytes.NewReader(buf.Bytes())); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "restore-ms")
}

// BenchmarkLedger fills the ledger to its bound, each key with an answer of
// the given bytes, then writes it, restores it and lets it expire.
func BenchmarkLedger(b *testing.B) {
	for _, answer := range []int{0, 32} {
		b.Run(fmt.Sprintf("answer=%dB", answer), func(b *testing.B) {
			for b.Loop() {
				benchLedger(b, answer)
			}
		})
	}
}

func benchLedger(b *testing.B, answer int) {
	before := heapBytes()
	s := newTestMachine(DefaultBounds())
	n := s.bounds.MaxLedgerEntries
	start := time.Now()
	for i := range n {
		c := claimOf(fmt.Sprint("booking-", i), fmt.Sprint("r", i%1800), 1, uint64(i))
		if s.claim(c).Status != granted {
			b.Fatal("a claim was not granted")
		}
		r := resolveOf(c, pb.ClaimOutcome_CLAIM_OUTCOME_DONE)
		r.Answer.Body = make([]byte, answer)
		s.resolve(r)
	}
	b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(2*n), "ns/command")
	b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/entry")
	measureSnapshot(b, s)
	s.advanceTime(s.bounds.KeyTTL - time.Millisecond)
	s.timeMs++
	start = time.Now()
	entries := 0
	for s.ledger.table.len() > 0 {
		s.apply(&pb.Command{})
		entries++
	}
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "expiry-ms")
	b.ReportMetric(float64(time.Since(start).Microseconds())/float64(entries), "expiry-us/log-entry")
}

// BenchmarkConfiguration holds 1,000 contracts after 34,000 changes.
func BenchmarkConfiguration(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		s := newTestMachine(DefaultBounds())
		revisions := make([]uint64, 1000)
		start := time.Now()
		for i := range 34_000 {
			c := contractChange(fmt.Sprint("operation-", i), "aina", fmt.Sprint("customer-", i%1000), revisions[i%1000])
			k := c.GetContract()
			k.KeyHashes = [][]byte{make([]byte, DigestBytes)}
			k.Limits = &pb.Limits{RequestsPerSecond: 10, TokensPerSecond: 1000, Concurrency: 8}
			k.Models = []string{"model-a", "model-b"}
			k.Objectives = &pb.Objectives{FirstTokenMs: 460, FirstTokenShare: 0.95, AnsweredShare: 0.999, NotRefusedShare: 0.99}
			k.KeyHashes[0][0], k.KeyHashes[0][1] = byte(i%1000), byte(i%1000>>8)
			r := s.change(c)
			if r.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
				b.Fatal(r)
			}
			revisions[i%1000] = r.Revision
		}
		b.ReportMetric(float64(time.Since(start).Microseconds())/34_000, "us/change")
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "heap-MiB")
		measureSnapshot(b, s)
		d := s.Delta(0, 1<<30)
		if len(d.Contracts) != 1000 {
			b.Fatal("contracts are missing")
		}
	}
}

// BenchmarkDelta is what one lease request without changes costs here.
func BenchmarkDelta(b *testing.B) {
	s := newTestMachine(DefaultBounds())
	for i := range 1000 {
		s.change(contractChange(fmt.Sprint("op-", i), "aina", fmt.Sprint("customer-", i), 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Delta(1000, 1<<20)
	}
}
