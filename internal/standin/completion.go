package standin

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// The published chat-completions format, as far as the stand-in fills it.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *delta       `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (a generatedAnswer) usage() *usage {
	return &usage{
		PromptTokens:     a.promptTokens,
		CompletionTokens: len(a.words),
		TotalTokens:      a.promptTokens + len(a.words),
		Details:          promptDetails{CachedTokens: a.cachedTokens},
	}
}

func (a generatedAnswer) chunk(d *delta, finish *string) completion {
	return completion{
		ID:      a.id,
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   a.model,
		Choices: []choice{{Delta: d, FinishReason: finish}},
	}
}

var finishStop = "stop"

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, a generatedAnswer) {
	if !sleep(r, e.cfg.TokenDelay*time.Duration(len(a.words)-1)) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	message := &chatMessage{Role: "assistant", Content: strings.Join(a.words, "")}
	_ = json.NewEncoder(w).Encode(completion{
		ID:      a.id,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   a.model,
		Choices: []choice{{Message: message, FinishReason: &finishStop}},
		Usage:   a.usage(),
	})
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, a generatedAnswer) {
	w.Header().Set("Content-Type", "text/event-stream")
	pace := e.tokenLimiter()
	for i, word := range a.words {
		if err := pace.Wait(r.Context()); err != nil {
			return
		}
		d := &delta{Content: word}
		if i == 0 {
			d.Role = "assistant"
		}
		writeEvent(w, a.chunk(d, nil))
	}
	last := a.chunk(&delta{}, &finishStop)
	last.Usage = a.usage()
	writeEvent(w, last)
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func writeEvent(w http.ResponseWriter, c completion) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
