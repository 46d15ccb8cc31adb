package placement

import "time"

// DefaultSpread is the default of Chooser.Spread.
const DefaultSpread = 4

// DefaultTakeover is the time over which a joining engine takes over the
// chats for which it scores highest and which nobody is known to hold.
const DefaultTakeover = 10 * time.Minute

// Engine is one eligible engine as the deciding router knows it.
type Engine struct {
	ID          string
	Hash        EngineHash
	Incarnation uint64
	// InFlight counts the requests that the engine has in flight.
	InFlight int
	// Excess counts requests that the engine may have in flight besides. They
	// count against the load bound, but don't raise the mean.
	Excess int
	// Capacity is the most requests that the engine may have in flight for
	// the chooser to add one.
	Capacity int
	// Blocked engines count in the mean but are never chosen.
	Blocked bool
	// Joined is when the engine was first seen; zero if that was long ago.
	Joined time.Time
}

// Reason says how an engine was chosen.
type Reason int

// Reasons for a choice.
const (
	// WhyHeld: the directory knows the engine as a holder of the prefix.
	ReasonCached Reason = iota + 1
	// WhyDefault: the engine has the highest rendezvous score.
	ReasonTopScore
	// WhySpill: engines that come first are at the load bound or full.
	ReasonOverflow
)

// String returns the reason in words.
func (w Reason) String() string {
	switch w {
	case ReasonCached:
		return "holds the chat's prefix"
	case ReasonTopScore:
		return "highest rendezvous score"
	case ReasonOverflow:
		return "the engines before it are at the load bound"
	default:
		return "none"
	}
}

// Choice is the outcome of a decision.
type Choice struct {
	// Index into the engines; -1 if every engine is at the bound or full.
	Index  int
	Reason Reason
	// Limit is the load bound at this decision, in requests in flight.
	Limit int
	// PassedOver is the index of the engine that would have been preferred, but
	// had no room; -1 if there is none.
	PassedOver int
}

// Chooser places chats on engines. It is not safe for concurrent use.
type Chooser struct {
	// Factor is the c of the load bound.
	Factor float64
	// Spread is among how many of a chat's best engines by score the least
	// loaded one is taken if nobody with room is known to hold its prefix.
	Spread int
	// Takeover is the time over which a joining engine takes over chats.
	Takeover time.Duration
	// Directory may be nil; then placement is by rendezvous alone.
	Directory *Directory

	// best is reused between decisions.
	best []scored
}

// Choose places a chat on one of the engines, all of which are eligible. An
// engine is passed over if one more request would take it past its capacity
// or past the load bound over the engines.
func (c *Chooser) Choose(now time.Time, k Key, engines []Engine) Choice {
	limit := c.limit(engines)
	i, passed := c.cachedEngine(k, engines, limit)
	if i >= 0 {
		return Choice{Index: i, Reason: ReasonCached, Limit: limit, PassedOver: passed}
	}
	choice := c.chooseByScore(now, k, engines, limit)
	choice.Limit = limit
	if passed >= 0 {
		choice.PassedOver = passed
	}
	return choice
}

// LeastLoaded returns the engine with the fewest requests in flight relative
// to its capacity that has room for one more, by score among equals.
func (c *Chooser) LeastLoaded(k Key, engines []Engine) Choice {
	limit := c.limit(engines)
	best := -1
	for i := range engines {
		e := &engines[i]
		if !hasCapacity(e, limit) {
			continue
		}
		if best < 0 || lessLoaded(k, e, &engines[best]) {
			best = i
		}
	}
	if best < 0 {
		return Choice{Index: -1, Limit: limit, PassedOver: -1}
	}
	return Choice{Index: best, Reason: ReasonTopScore, Limit: limit, PassedOver: -1}
}

func lessLoaded(k Key, a, b *Engine) bool {
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return score(k, a.Hash) > score(k, b.Hash)
}

func (c *Chooser) limit(engines []Engine) int {
	total := 1
	for i := range engines {
		total += engines[i].InFlight
	}
	return LoadLimit(c.Factor, total, len(engines))
}

func hasCapacity(e *Engine, limit int) bool {
	return !e.Blocked && e.InFlight+e.Excess < limit && e.InFlight < e.Capacity
}

// cachedEngine returns the first holder that is eligible, has room and still runs in
// the incarnation that took the chat, and the first one that has no room; each
// is -1 if there is none.
func (c *Chooser) cachedEngine(k Key, engines []Engine, limit int) (holder, passed int) {
	passed = -1
	if c.Directory == nil || k == 0 {
		return -1, passed
	}
	for _, h := range c.Directory.Holders(k) {
		if h.Engine == "" {
			continue
		}
		for i := range engines {
			e := &engines[i]
			if e.ID != h.Engine || e.Incarnation != h.Incarnation {
				continue
			}
			if hasCapacity(e, limit) {
				return i, passed
			}
			if passed < 0 {
				passed = i
			}
		}
	}
	return -1, passed
}

// chooseByScore takes the least loaded of the Spread best engines with room. A
// joining engine competes for a growing share of the chats; outside this share
// it is taken only if no other has room.
func (c *Chooser) chooseByScore(now time.Time, k Key, engines []Engine, limit int) Choice {
	c.best = c.best[:0]
	spread := max(c.Spread, 1)
	passed, passedScore := -1, uint64(0)
	fallback, fallbackScore := -1, uint64(0)
	for i := range engines {
		e := &engines[i]
		s := score(k, e.Hash)
		if !c.participates(now, e, s) {
			if hasCapacity(e, limit) && (fallback < 0 || s > fallbackScore) {
				fallback, fallbackScore = i, s
			}
			continue
		}
		if !hasCapacity(e, limit) {
			if passed < 0 || s > passedScore {
				passed, passedScore = i, s
			}
			continue
		}
		c.insertBest(scored{index: i, score: s}, spread)
	}
	if len(c.best) == 0 {
		return Choice{Index: fallback, Reason: ReasonOverflow, PassedOver: passed}
	}
	chosen := c.best[0]
	for _, other := range c.best[1:] {
		if engines[other.index].InFlight < engines[chosen.index].InFlight {
			chosen = other
		}
	}
	why := ReasonTopScore
	if passed >= 0 {
		why = ReasonOverflow
	}
	return Choice{Index: chosen.index, Reason: why, PassedOver: passed}
}

// scored is an engine with its score for a chat.
type scored struct {
	index int
	score uint64
}

// insertBest keeps the best engines by score, at most limit of them.
func (c *Chooser) insertBest(s scored, limit int) {
	if len(c.best) == limit && s.score <= c.best[limit-1].score {
		return
	}
	if len(c.best) < limit {
		c.best = append(c.best, s)
	} else {
		c.best[limit-1] = s
	}
	for i := len(c.best) - 1; i > 0 && c.best[i].score > c.best[i-1].score; i-- {
		c.best[i], c.best[i-1] = c.best[i-1], c.best[i]
	}
}

// participates tells whether an engine takes part for the chat with this score.
// The share of chats grows in proportion to the time since the engine joined.
func (c *Chooser) participates(now time.Time, e *Engine, s uint64) bool {
	if c.Takeover <= 0 || e.Joined.IsZero() {
		return true
	}
	age := now.Sub(e.Joined)
	if age >= c.Takeover {
		return true
	}
	share := float64(age) / float64(c.Takeover)
	return float64(mix(s)>>11)/(1<<53) < share
}
