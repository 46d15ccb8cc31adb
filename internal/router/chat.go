package router

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// Bounds and estimates of chat requests.
const (
	maxChatIDBytes = 128
	maxModelBytes  = 256
	// bytesPerToken estimates a prompt's tokens from its size.
	bytesPerToken = 4
	// defaultMaxTokens is assumed where a chat names no bound.
	defaultMaxTokens = 1024
	// maxCheckTokens and noteTokens are the largest answers of their classes.
	maxCheckTokens = 64
	maxNoteTokens  = 512
	// chatHashBytes is the length of a name made from a chat's prefix.
	chatHashBytes = 16
)

// chatRequest is what a router needs of the published chat-completions format.
type chatRequest struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Messages            []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// serveChat serves POST /v1/chat/completions.
func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(req)
	x.URI = "/v1/chat/completions"
	x.Path = x.URI
	// A chat has no lasting effect: generating it again gives an answer of
	// equal worth.
	x.Idempotent = true
	if err := r.readChat(w, req, x); err != nil {
		r.refuse(w, req, x, err)
		return
	}
	// An encoded answer could not be checked for its end mark.
	x.Header = x.Header.Clone()
	x.Header.Del("Accept-Encoding")
	x.Header.Set(headerPriority, className(x.Demand.Class))
	r.serve(w, req, x)
}

// readChat reads the request and fills in the demand.
func (r *Router) readChat(w http.ResponseWriter, req *http.Request, x *filter.Exchange) error {
	if err := r.readBody(w, req, x); err != nil {
		return err
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

// parseChat reads and checks a chat request.
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
	case len(c.Messages) == 0:
		return nil, fmt.Errorf("the field messages is missing or empty")
	case c.maxTokens() <= 0:
		return nil, fmt.Errorf("the field max_tokens is not positive")
	}
	return &c, nil
}

// tokenLimit returns the caller's bound on the answer's tokens, nil if none.
func (c *chatRequest) tokenLimit() *int {
	if c.MaxCompletionTokens != nil {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

func (c *chatRequest) maxTokens() int {
	if n := c.tokenLimit(); n != nil {
		return *n
	}
	return defaultMaxTokens
}

// class guesses the class from the bound on the answer.
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

// setChat names the chat by its header or else by its prefix.
func setChat(req *http.Request, x *filter.Exchange, c *chatRequest) error {
	id := req.Header.Get(headerChatID)
	if len(id) > maxChatIDBytes {
		return invalid(x, http.StatusBadRequest, "bad-chat-id", fmt.Sprintf("%s is longer than %d bytes", headerChatID, maxChatIDBytes))
	}
	if id != "" {
		x.Demand.Chat = "id:" + id
		return nil
	}
	x.Demand.Chat = "prefix:" + c.prefixHash()
	return nil
}

// prefixHash hashes the model, the system messages before the first user
// message, and that message: later turns of one chat give the same name.
func (c *chatRequest) prefixHash() string {
	h := sha256.New()
	write := func(part []byte) {
		fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	write([]byte(c.Model))
	for _, m := range c.Messages {
		if m.Role == "system" || m.Role == "developer" || m.Role == "user" {
			write([]byte(m.Role))
			write(m.Content)
		}
		if m.Role == "user" {
			break
		}
	}
	return hex.EncodeToString(h.Sum(nil)[:chatHashBytes])
}
