package replica

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// commandBytes is about the size of a ledger claim.
const commandBytes = 256

// BenchmarkCommit measures commits of three replicas over TCP on one machine, with
// group commit and with one proposal per sync.
func BenchmarkCommit(b *testing.B) {
	for _, group := range []struct {
		name  string
		batch int
	}{{"group", defaultMaxBatch}, {"single", 1}} {
		for _, proposers := range []int{1, 32, 256} {
			b.Run(fmt.Sprintf("%s/proposers=%d", group.name, proposers), func(b *testing.B) {
				c := newCluster(b, simFounders, func(cfg *Config) {
					cfg.MaxBatch = group.batch
					cfg.TickInterval = defaultTickInterval
				})
				benchCommits(b, c, proposers)
			})
		}
	}
}

func benchCommits(b *testing.B, c cluster, proposers int) {
	data := []byte(strings.Repeat("x", commandBytes))
	node := c.leader().node
	syncs := node.Syncs()
	var left atomic.Int64
	left.Store(int64(b.N))
	times := make([][]time.Duration, proposers)
	var all sync.WaitGroup
	b.ResetTimer()
	for i := range proposers {
		all.Go(func() {
			for left.Add(-1) >= 0 {
				start := time.Now()
				if _, _, err := node.Propose(context.Background(), data); err != nil {
					b.Error(err)
					return
				}
				times[i] = append(times[i], time.Since(start))
			}
		})
	}
	all.Wait()
	b.StopTimer()
	sorted := slices.Sorted(slices.Values(slices.Concat(times...)))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(node.Syncs()-syncs)/float64(b.N), "syncs/commit")
	b.ReportMetric(float64(sorted[len(sorted)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(sorted[len(sorted)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkReadIndex measures linearizable reads; concurrent reads share a
// heartbeat round.
func BenchmarkReadIndex(b *testing.B) {
	for _, readers := range []int{1, 32} {
		b.Run(fmt.Sprintf("readers=%d", readers), func(b *testing.B) {
			c := newCluster(b, simFounders, func(cfg *Config) { cfg.TickInterval = defaultTickInterval })
			node := c.leader().node
			var left atomic.Int64
			left.Store(int64(b.N))
			var all sync.WaitGroup
			b.ResetTimer()
			for range readers {
				all.Go(func() {
					for left.Add(-1) >= 0 {
						if _, err := node.ReadIndex(context.Background()); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
		})
	}
}

// BenchmarkFailover measures the time from the stop of the leader until another
// replica holds the leader lease.
func BenchmarkFailover(b *testing.B) {
	for _, tick := range []time.Duration{20 * time.Millisecond, defaultTickInterval, 100 * time.Millisecond} {
		b.Run(fmt.Sprintf("tick=%v", tick), func(b *testing.B) {
			c := newCluster(b, simFounders, func(cfg *Config) { cfg.TickInterval = tick })
			var times []time.Duration
			for range b.N {
				old := c.leader()
				start := time.Now()
				old.stop()
				c.leader()
				times = append(times, time.Since(start))
				old.start()
				c.propose("next")
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
		})
	}
}

type byteMeter struct{ sent, received atomic.Int64 }

func (m *byteMeter) Sent(_ string, n int)     { m.sent.Add(int64(n)) }
func (m *byteMeter) Received(_ string, n int) { m.received.Add(int64(n)) }

// BenchmarkIdleTraffic measures the bytes that a leader and a follower send and
// receive while nothing is proposed.
func BenchmarkIdleTraffic(b *testing.B) {
	meters := make(map[string]*byteMeter)
	c := newCluster(b, simFounders, func(cfg *Config) {
		cfg.TickInterval = defaultTickInterval
		meters[cfg.Addr] = &byteMeter{}
		cfg.Pool = transport.NewPool("token", nil, meters[cfg.Addr])
		b.Cleanup(cfg.Pool.Close)
	})
	leader := c.leader()
	time.Sleep(time.Second)
	for name, in := range map[string]*instance{"leader": leader, "follower": c.otherThan(leader)} {
		m := meters[in.addr]
		sent, received := m.sent.Load(), m.received.Load()
		start := time.Now()
		time.Sleep(3 * time.Second)
		seconds := time.Since(start).Seconds()
		b.ReportMetric(float64(m.sent.Load()-sent)/seconds, name+"-sent-B/s")
		b.ReportMetric(float64(m.received.Load()-received)/seconds, name+"-received-B/s")
	}
}

func (c cluster) otherThan(excluded *instance) *instance {
	for _, in := range c {
		if in != excluded {
			return in
		}
	}
	return nil
}

// BenchmarkRecovery measures opening a journal, by its number of entries.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []uint64{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			dir := b.TempDir()
			fillJournal(b, dir, entries)
			b.ResetTimer()
			for range b.N {
				closeJournal(b, openJournal(b, dir))
			}
		})
	}
}

func openJournal(b *testing.B, dir string) *journal.Journal {
	fs, err := journal.NewDirFS(dir)
	if err != nil {
		b.Fatal(err)
	}
	j, _, err := journal.Open(fs, nil)
	if err != nil {
		b.Fatal(err)
	}
	return j
}

func closeJournal(b *testing.B, j *journal.Journal) {
	if err := j.Close(); err != nil {
		b.Fatal(err)
	}
}

func fillJournal(b *testing.B, dir string, n uint64) {
	j := openJournal(b, dir)
	data := []byte(strings.Repeat("x", commandBytes))
	var batch []*pb.LogEntry
	for i := uint64(1); i <= n; i++ {
		batch = append(batch, &pb.LogEntry{Term: 1, Index: i, Kind: pb.EntryKind_ENTRY_KIND_COMMAND, Data: data})
		if i%1000 == 0 {
			if err := j.Save(&pb.HardState{Term: 1, Commit: i}, batch, true); err != nil {
				b.Fatal(err)
			}
			batch = nil
		}
	}
	closeJournal(b, j)
}

// BenchmarkSnapshot measures writing a snapshot to disk and compacting the journal.
func BenchmarkSnapshot(b *testing.B) {
	for _, megabytes := range []int{1, 32} {
		b.Run(fmt.Sprintf("MB=%d", megabytes), func(b *testing.B) {
			j := openJournal(b, b.TempDir())
			block := make([]byte, 1<<20)
			b.ResetTimer()
			for i := range b.N {
				err := j.WriteSnapshot(&pb.SnapshotMeta{Index: uint64(i + 1), Term: 1}, func(w io.Writer) error {
					for range megabytes {
						if _, err := w.Write(block); err != nil {
							return err
						}
					}
					return nil
				})
				if err != nil {
					b.Fatal(err)
				}
				if err := j.Compact(uint64(i + 1)); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			closeJournal(b, j)
		})
	}
}
