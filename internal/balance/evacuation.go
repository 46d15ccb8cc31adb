package balance

// SetEvacuated sets the function that reports whether a data centre is evacuated. The targets
// of such a data centre get no new requests and are no sources of cached parts of prompts.
// The function must not block or call the balancer.
func (b *Balancer) SetEvacuated(evacuated func(dataCentre string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuated = evacuated
}
