package pool

// TargetLoad is what one target has in flight.
type TargetLoad struct {
	Target   string
	Granted  int
	InFlight int
	Capacity int
}

// Stats describes a pool at one moment.
type Stats struct {
	// Loads are those of the open targets, by lane.
	Loads map[string][]TargetLoad
	// Waiting is the length of each lane's queue.
	Waiting map[string]int
	Chats   int
	Grants  int
}

// Stats returns the present state for metrics.
func (p *Pool) Stats() Stats {
	s := Stats{
		Loads:   make(map[string][]TargetLoad, len(p.lanes)),
		Waiting: make(map[string]int, len(p.lanes)),
		Chats:   p.directory.Len(),
		Grants:  len(p.grants),
	}
	for name, l := range p.lanes {
		s.Waiting[name] = l.queue.Len()
		for _, t := range l.targets {
			s.Loads[name] = append(s.Loads[name], TargetLoad{
				Target:   t.ID,
				Granted:  t.granted,
				InFlight: t.inFlight(),
				Capacity: t.Capacity,
			})
		}
	}
	return s
}

// Granted returns the places at a target that this pool granted.
func (p *Pool) Granted(target string) int {
	if t, ok := p.targets[target]; ok {
		return t.granted
	}
	return 0
}

// Skew is the load of the busiest target over the mean of all; one if nothing
// is in flight.
func Skew(loads []TargetLoad) float64 {
	total, busiest := 0, 0
	for _, l := range loads {
		total += l.InFlight
		busiest = max(busiest, l.InFlight)
	}
	if total == 0 {
		return 1
	}
	return float64(busiest) * float64(len(loads)) / float64(total)
}
