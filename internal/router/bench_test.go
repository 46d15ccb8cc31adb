package router

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// newHistogram holds up to a minute in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func report(b *testing.B, name string, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-µs")
}

// firstByte posts a chat and returns the time to the first byte of its body.
func firstByte(b *testing.B, client *http.Client, url, body string) time.Duration {
	req, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp, err)
	}
	defer resp.Body.Close()
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		b.Fatal(err)
	}
	took := time.Since(start)
	io.Copy(io.Discard, resp.Body)
	return took
}

// BenchmarkFirstToken compares a streamed chat through the router with the
// same one sent to the engine directly, one after the other in the same run.
func BenchmarkFirstToken(b *testing.B) {
	addr := target(b, chatEngine)
	w := newHarness(b, engine("e1", addr))
	client := &http.Client{Transport: &http.Transport{}}
	direct, routed, added := newHistogram(), newHistogram(), newHistogram()
	for b.Loop() {
		d := firstByte(b, client, "http://"+addr, streamChat)
		r := firstByte(b, client, w.url, streamChat)
		direct.RecordValue(d.Microseconds())
		routed.RecordValue(r.Microseconds())
		added.RecordValue(max(r-d, 0).Microseconds())
	}
	report(b, "direct", direct)
	report(b, "routed", routed)
	report(b, "added", added)
}

// BenchmarkThroughput sends plain chats through one router, 64 at a time per
// processor. Allocations are those of caller, router and engine together; the
// sub-benchmark without the router gives what to subtract.
func BenchmarkThroughput(b *testing.B) {
	addr := target(b, chatEngine)
	w := newHarness(b, engine("e1", addr))
	for name, url := range map[string]string{"routed": w.url, "direct": "http://" + addr} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
			b.ReportAllocs()
			b.SetParallelism(64)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					firstByte(b, client, url, plainChat)
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}

// BenchmarkSilence measures from the moment an engine goes silent in the
// middle of a stream to the error event at the caller. The bound between bytes
// is 200 ms.
func BenchmarkSilence(b *testing.B) {
	const bound = 200 * time.Millisecond
	var silent atomic.Int64
	addr := target(b, func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "data: {}\n\n")
		w.(http.Flusher).Flush()
		silent.Store(time.Now().UnixNano())
		<-req.Context().Done()
	})
	wait := ClassTimeouts{FirstByte: bound, Plain: bound, BetweenBytes: bound, Total: time.Minute}
	w := newHarnessWithConfig(b, Config{Timeouts: Timeouts{wait, wait, wait}}, engine("e1", addr))
	h := newHistogram()
	for b.Loop() {
		_, body, err := w.do(b, "POST", "/v1/chat/completions", streamChat)
		h.RecordValue((time.Now().UnixNano() - silent.Load()) / 1000)
		if err == nil || !strings.Contains(body, "event: error") {
			b.Fatalf("%q, %v", body, err)
		}
	}
	report(b, "silence-to-error", h)
}
