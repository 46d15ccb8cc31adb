package router

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"unicode/utf8"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// Limits and estimates for chat requests.
const (
	maxChatIDBytes = 128
	maxModelBytes  = 256
	// bytesPerToken estimates the number of prompt tokens from the body size.
	bytesPerToken = 4
	// defaultMaxTokens is used when a chat sets no token limit.
	defaultMaxTokens = 1024
	// maxCheckTokens and maxNoteTokens are the largest token limits of the
	// check and note classes.
	maxCheckTokens = 64
	maxNoteTokens  = 512
	// decodeCopies is the most memory that decoding a chat needs, as a multiple of its body.
	decodeCopies = 2
	// chatHashBytes is the length of the hash that identifies a chat by its prefix.
	chatHashBytes = 16
)

// chatRequest holds the fields of the chat-completions format that a router
// reads.
type chatRequest struct {
	Model               string       `json:"model"`
	Stream              bool         `json:"stream"`
	MaxTokens           *int         `json:"max_tokens"`
	MaxCompletionTokens *int         `json:"max_completion_tokens"`
	Messages            chatMessages `json:"messages"`
}

// chatMessages holds what a router needs of the messages of a chat. The messages are
// decoded one at a time, because a list of millions of empty messages would need many times
// the memory of the body.
type chatMessages struct {
	count int
	// prefix holds the roles and contents of the system, developer and user messages up to
	// and including the first user message, each after its length.
	prefix []byte
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatMessages) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	first, err := decoder.Token()
	if err != nil {
		return err
	}
	if first != json.Delim('[') {
		return errors.New("the field messages is not an array")
	}
	for hasUser := false; decoder.More(); c.count++ {
		var m chatMessage
		if err := decoder.Decode(&m); err != nil {
			return err
		}
		if !hasUser && (m.Role == "system" || m.Role == "developer" || m.Role == "user") {
			c.prefix = appendPart(appendPart(c.prefix, m.Role), m.Content)
			hasUser = m.Role == "user"
		}
	}
	return nil
}

// appendPart appends the length of a part in bytes, a colon and the part.
func appendPart[T string | json.RawMessage](to []byte, part T) []byte {
	return append(fmt.Appendf(to, "%d:", len(part)), part...)
}

// chatMessage is one message of a chat. Its content is only hashed.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// serveChat serves POST /v1/chat/completions.
func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(req)
	x.URI = "/v1/chat/completions"
	x.Path = x.URI
	// A chat has no side effects: generating the answer again gives one that is
	// equally good.
	x.Idempotent = true
	if err := r.readChat(w, req, x); err != nil {
		r.refuse(w, req, x, err)
		return
	}
	// The target must not compress the answer: the router could not find the end
	// marker of a compressed stream and so could not detect a truncated one.
	x.Header = x.Header.Clone()
	x.Header.Del("Accept-Encoding")
	x.Header.Set(headerPriority, className(x.Demand.Class))
	r.serve(w, req, x)
}

// readChat reads the request and fills in x.Demand.
func (r *Router) readChat(w http.ResponseWriter, req *http.Request, x *filter.Exchange) error {
	body, err := r.readBody(w, req, x)
	if err != nil {
		return err
	}
	// Decoding a chat copies its largest message and its prefix.
	if size := decodeCopies * int64(len(x.Body)); size > 0 {
		if err := body.Reserve(size); err != nil {
			return rejectBody(x, err, r.cfg.Bounds.MaxBodyBytes)
		}
		defer body.Unreserve(size)
	}
	if err := readTimeout(req, x); err != nil {
		return err
	}
	chat, err := parseChat(x.Body)
	if err != nil {
		return invalid(x, http.StatusBadRequest, "malformed", err.Error())
	}
	x.Stream = chat.Stream
	x.Demand.Model = chat.Model
	x.Demand.PromptTokens = len(x.Body) / bytesPerToken
	x.Demand.MaxTokens = chat.maxTokens()
	if err := readPriority(req, x, chat.class()); err != nil {
		return err
	}
	return setChat(req, x, chat)
}

// parseChat decodes and validates a chat request.
func parseChat(body []byte) (*chatRequest, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	switch {
	case c.Model == "":
		return nil, fmt.Errorf("the field model is missing")
	case len(c.Model) > maxModelBytes:
		return nil, fmt.Errorf("the field model is longer than %d bytes", maxModelBytes)
	case c.Messages.count == 0:
		return nil, fmt.Errorf("the field messages is missing or empty")
	case c.maxTokens() <= 0:
		return nil, fmt.Errorf("the field max_tokens is not positive")
	}
	return &c, nil
}

// tokenLimit returns the caller's limit on answer tokens, or nil if there is
// none.
func (c *chatRequest) tokenLimit() *int {
	if c.MaxCompletionTokens != nil {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// maxTokens returns the token limit, or defaultMaxTokens if the caller set none.
func (c *chatRequest) maxTokens() int {
	if n := c.tokenLimit(); n != nil {
		return *n
	}
	return defaultMaxTokens
}

// class derives the request class from the limit on answer tokens.
func (c *chatRequest) class() filter.Class {
	switch n := c.maxTokens(); {
	case n <= maxCheckTokens:
		return filter.ClassCheck
	case n <= maxNoteTokens:
		return filter.ClassNote
	default:
		return filter.ClassDraft
	}
}

// setChat sets x.Demand.Chat from the chat ID header, or else from the hash of
// the chat's prefix.
func setChat(req *http.Request, x *filter.Exchange, c *chatRequest) error {
	id := req.Header.Get(headerChatID)
	if len(id) > maxChatIDBytes {
		return invalid(x, http.StatusBadRequest, "bad-chat-id", fmt.Sprintf("%s is longer than %d bytes", headerChatID, maxChatIDBytes))
	}
	if !utf8.ValidString(id) {
		return invalid(x, http.StatusBadRequest, "bad-chat-id", headerChatID+" is not valid UTF-8")
	}
	if id != "" {
		x.Demand.Chat = "id:" + id
		return nil
	}
	x.Demand.Chat = "prefix:" + c.prefixHash()
	return nil
}

// prefixHash hashes the model and the system, developer and user messages up to
// and including the first user message. Later turns of a chat therefore have the
// same hash.
func (c *chatRequest) prefixHash() string {
	h := sha256.New()
	h.Write(appendPart(nil, c.Model))
	h.Write(c.Messages.prefix)
	return hex.EncodeToString(h.Sum(nil)[:chatHashBytes])
}
