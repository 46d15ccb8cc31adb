package permits

import "time"

// Keeper holds what one router knows of the limits of targets. It is not safe for concurrent
// use.
type Keeper struct {
	table table
}

// NewKeeper returns a keeper that knows no limits.
func NewKeeper() *Keeper { return &Keeper{table: newTable()} }

// Observe records the limit that an answer of the target with this load key showed at the
// time o.At. It reports whether the limit changed.
func (k *Keeper) Observe(now time.Time, key uint32, o Observation) (changed bool) {
	return k.table.observe(now, key, o)
}

// Limited returns the number of targets that are known to name a limit.
func (k *Keeper) Limited(now time.Time) int { return k.table.limited(now) }
