package burn

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Method is the name of the call between instances.
const Method = "report.burn"

// HandleBurn returns this router's counts.
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

// window sums the slots of the last w, the present one included.
func (c *customer) window(now int64, w time.Duration) *pb.WindowCounts {
	sum := &pb.WindowCounts{Seconds: uint32(w / time.Second)}
	oldest := now - int64(w/bucketDuration) + 1
	for i := range c.buckets {
		s := &c.buckets[i]
		if s.number < oldest || s.number > now {
			continue
		}
		sum.Total += uint64(s.total)
		sum.Refused += uint64(s.refused)
		sum.Answered += uint64(s.answered)
		sum.FirstTokens += uint64(s.firstTokens)
		sum.FirstTokensMet += uint64(s.firstTokensMet)
	}
	return sum
}

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
