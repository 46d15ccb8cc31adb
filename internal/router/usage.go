package router

import (
	"bytes"
	"encoding/json"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// maxUsageBytes limits how much of an event or a plain answer is buffered to
// find its usage.
const maxUsageBytes = 64 << 10

// usageScanner extracts the token usage from a chat's answer. If the answer
// reports none, the estimate is the prompt's tokens plus one for each event.
type usageScanner struct {
	// chat is set for chats; nothing is scanned for other requests.
	chat bool
	// events is set if the answer is an event stream.
	events bool
	// tokens is the estimate so far.
	tokens int
	// line is the buffered part of the current line, or of a plain answer.
	line []byte
	// reported is the usage that the answer reports, nil if none so far.
	reported *chatUsage
}

// chatUsage is the usage object of the chat-completions format.
type chatUsage struct {
	TotalTokens   int `json:"total_tokens"`
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newUsageScanner(x *filter.Exchange) *usageScanner {
	return &usageScanner{
		chat:   x.Demand.Model != "",
		events: x.Answer.Events,
		tokens: x.Demand.PromptTokens,
	}
}

// scan processes the next piece of the answer.
func (u *usageScanner) scan(p []byte) {
	if !u.chat {
		return
	}
	if !u.events {
		u.buffer(p)
		return
	}
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			u.buffer(p)
			return
		}
		u.buffer(p[:i])
		u.endLine()
		p = p[i+1:]
	}
}

// buffer appends p to the current line of an event stream, or to a plain answer,
// up to maxUsageBytes.
func (u *usageScanner) buffer(p []byte) {
	room := maxUsageBytes - len(u.line)
	u.line = append(u.line, p[:min(room, len(p))]...)
}

// endLine counts a data line as an event and reads its usage.
func (u *usageScanner) endLine() {
	data, ok := bytes.CutPrefix(u.line, []byte("data:"))
	u.line = u.line[:0]
	if !ok {
		return
	}
	u.tokens++
	if bytes.Contains(data, []byte(`"usage"`)) {
		u.parseUsage(data)
	}
}

// parseUsage records the usage field of a JSON object, if it has one.
func (u *usageScanner) parseUsage(object []byte) {
	var o struct {
		Usage *chatUsage `json:"usage"`
	}
	if json.Unmarshal(object, &o) == nil && o.Usage != nil {
		u.reported = o.Usage
	}
}

// usage returns the usage of the finished answer. err is the error that ended
// the answer early, or nil.
func (u *usageScanner) usage(err error) filter.Usage {
	if u.chat && !u.events {
		u.parseUsage(u.line)
	}
	consumed := filter.Usage{Failed: isTargetFailure(err)}
	if !u.chat {
		return consumed
	}
	consumed.Tokens = u.tokens
	if u.reported != nil {
		consumed.Tokens = u.reported.TotalTokens
		consumed.CacheHit = u.reported.PromptDetails.CachedTokens > 0
	}
	return consumed
}
