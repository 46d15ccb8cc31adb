package pool

// TargetLoad is the load of one target.
type TargetLoad struct {
	Target string
	// Granted is the number of held slots that this pool granted or adopted.
	// InFlight also includes the requests in Target.External.
	Granted  int
	InFlight int
	Capacity int
}

// Stats is a snapshot of the state of a pool.
type Stats struct {
	// Loads holds the loads of the targets that take work, by lane name.
	Loads map[string][]TargetLoad
	// Waiting holds the length of each lane's queue, by lane name.
	Waiting map[string]int
	// Chats is the number of chats in the directory. Grants is the number of
	// held slots.
	Chats  int
	Grants int
}

// Stats returns a snapshot for metrics.
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

// Granted returns the number of held slots at a target that this pool granted or
// adopted.
func (p *Pool) Granted(target string) int {
	if t, ok := p.targets[target]; ok {
		return t.granted
	}
	return 0
}

// Skew returns the highest load of a target divided by the mean load, or one if
// nothing is in flight.
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
