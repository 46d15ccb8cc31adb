package router

import (
	"bytes"
	"encoding/json"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// maxUsageBytes bounds what is kept of an answer to find its usage.
const maxUsageBytes = 64 << 10

// usageScanner finds what a chat's answer says it consumed. Without a word of
// it each event counts as one token.
type usageScanner struct {
	chat     bool
	events   bool
	tokens   int
	line     []byte
	reported *chatUsage
}

// chatUsage is the usage object of the published chat-completions format.
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

// scan looks at the next piece of the answer.
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

// buffer adds to the present line, or to a plain answer, within the bound.
func (u *usageScanner) buffer(p []byte) {
	room := maxUsageBytes - len(u.line)
	u.line = append(u.line, p[:min(room, len(p))]...)
}

// endLine counts an event and reads its usage.
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

// parseUsage keeps the usage that a JSON object carries.
func (u *usageScanner) parseUsage(object []byte) {
	var o struct {
		Usage *chatUsage `json:"usage"`
	}
	if json.Unmarshal(object, &o) == nil && o.Usage != nil {
		u.reported = o.Usage
	}
}

// usage returns what the answer consumed; err is what ended it early.
func (u *usageScanner) usage(err error) filter.Usage {
	if u.chat && !u.events {
		u.parseUsage(u.line)
	}
	use := filter.Usage{Failed: isTargetFailure(err)}
	if !u.chat {
		return use
	}
	use.Tokens = u.tokens
	if u.reported != nil {
		use.Tokens = u.reported.TotalTokens
		use.CacheHit = u.reported.PromptDetails.CachedTokens > 0
	}
	return use
}
