package forward

import (
	"errors"
	"mime"
)

// errInsideEvent means that a stream of events ended with its connection inside an event, or
// before the first one: it was broken off, whatever else is known of its target.
var errInsideEvent = errors.New("the stream ended inside an event or before the first one")

// eventEnd follows a stream of server-sent events and tells whether it may end here: after the
// blank line of an event, or after white space that follows one.
type eventEnd struct {
	newlines   int
	afterEvent bool
}

// write follows the next bytes of the stream.
func (e *eventEnd) write(p []byte) {
	for _, b := range p {
		switch b {
		case '\n':
			e.newlines++
			e.afterEvent = e.afterEvent || e.newlines > 1
		case ' ', '\t', '\r':
			e.newlines = 0
		default:
			e.newlines = 0
			e.afterEvent = false
		}
	}
}

// IsEventStream reports whether the media type is that of server-sent events.
func IsEventStream(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && media == "text/event-stream"
}
