package instance

import (
	"context"

	"github.com/wigeonwood/wigeonwood/internal/announce"
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

var eventKinds = map[string]placement.EventKind{
	announce.EventStored:  placement.EventStored,
	announce.EventEvicted: placement.EventEvicted,
	announce.EventCleared: placement.EventCleared,
}

// handleCacheEvents forwards an engine's cache events to the scheduler. It reports whether
// the engine must send its full cache contents again.
func (in *Instance) handleCacheEvents(_ context.Context, e *announce.CacheEvents) (resync bool) {
	events := make([]placement.CacheEvent, 0, len(e.Events))
	for _, event := range e.Events {
		events = append(events, placement.CacheEvent{
			Kind: eventKinds[event.Kind],
			Chat: placement.ChatKey(event.Chat),
		})
	}
	return in.scheduler.HandleCacheEvents(e.Target, e.Incarnation, e.FromSequence, events)
}
