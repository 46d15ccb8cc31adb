package balance

import (
	"math"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// SetCold sets the function that returns the rate of requests that a cold target gets from all
// routers together, in requests per second; zero if the target is not cold. The function must
// not call the balancer.
func (b *Balancer) SetCold(rate func(st *pb.TargetStatus) float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldRate = rate
}

// setColdWeights sets the weights of the cold candidates of a service, so that each is selected
// for about as many requests as it gets permits. The other candidates keep their weights, so that
// only requests of cold targets move to others, and return once the target is warm.
func (b *Balancer) setColdWeights(now time.Time, service string, all []*candidate) {
	serving, warm, sum, most := 0, 0, 0.0, 0.0
	for _, c := range all {
		if c.leaving || c.evacuated {
			continue
		}
		serving++
		if c.coldRate == 0 {
			warm++
		}
		sum += limitUse * c.coldRate
		most = max(most, c.coldRate)
	}
	if serving == warm {
		return
	}
	// full is the rate of a target with the weight one.
	full := limitUse * most
	if d := b.demands[service]; d != nil && warm > 0 {
		total := d.perSecond(now) * float64(max(1, len(ServingRouters(b.view.Routers()))))
		full = max((total-sum)/float64(warm), total/float64(serving))
	}
	for _, c := range all {
		if c.coldRate > 0 && full > 0 {
			steps := math.Round(weightSteps * limitUse * c.coldRate / full)
			c.coldWeight = min(1, max(1, steps)/weightSteps)
		}
	}
}

// Targets returns the targets in this router's view.
func (b *Balancer) Targets() []*pb.TargetStatus { return b.view.Targets() }
