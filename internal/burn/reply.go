package burn

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Method is the name of the call that fetches a router's counts.
const Method = "report.burn"

// HandleBurn handles a call of Method. It returns this router's counts for the
// customer in the request, or for all customers if the request names none.
func (r *Recorder) HandleBurn(_ context.Context, req *pb.BurnRequest) (*pb.BurnReply, error) {
	reply := &pb.BurnReply{
		Router:         r.router,
		CountedSeconds: uint32(time.Since(r.start) / time.Second),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.bucketNumber()
	for name, c := range r.customers {
		if req.Customer != "" && req.Customer != name {
			continue
		}
		entry := &pb.CustomerBurn{Customer: name, Culprits: c.culpritList()}
		for _, w := range Windows {
			entry.Windows = append(entry.Windows, c.window(now, w))
		}
		entry.FirstTokenHistogram = c.encodedHistogram()
		reply.Customers = append(reply.Customers, entry)
	}
	return reply, nil
}

// window sums the buckets of the window of length w that ends with the current
// bucket. The number of the current bucket is now.
func (c *customer) window(now int64, w time.Duration) *pb.WindowCounts {
	sum := &pb.WindowCounts{Seconds: uint32(w / time.Second)}
	oldest := now - int64(w/bucketDuration) + 1
	for i := range c.buckets {
		b := &c.buckets[i]
		if b.number < oldest || b.number > now {
			continue
		}
		sum.Total += uint64(b.total)
		sum.Refused += uint64(b.refused)
		sum.Answered += uint64(b.answered)
		sum.FirstTokens += uint64(b.firstTokens)
		sum.FirstTokensMet += uint64(b.firstTokensMet)
	}
	return sum
}

// encodedHistogram returns the merged histogram of both generations in the
// compressed encoding of HdrHistogram, or nil if the encoding fails. It excludes
// the previous generation once the current one is older than histogramPeriod.
func (c *customer) encodedHistogram() []byte {
	merged := newHistogram()
	merged.Merge(c.current)
	if c.previous != nil && time.Since(c.rotatedAt) < histogramPeriod {
		merged.Merge(c.previous)
	}
	data, err := merged.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return data
}

// culpritList returns the merged culprits of both generations.
func (c *customer) culpritList() []*pb.Culprit {
	sums := make(map[culprit]uint64, len(c.culprits))
	for k, n := range c.culprits {
		sums[k] += n
	}
	for k, n := range c.previousCulprits {
		sums[k] += n
	}
	list := make([]*pb.Culprit, 0, len(sums))
	for k, n := range sums {
		list = append(list, &pb.Culprit{Step: k.step, Target: k.target, Count: n})
	}
	return list
}
