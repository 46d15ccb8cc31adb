package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

const (
	orderPath = "/control/v1/order"
	statePath = "/control/v1/state"
	// maxStateBytes bounds a target's answer.
	maxStateBytes = 64 << 10
	// callTimeout bounds one call whose context allows more.
	callTimeout = 2 * time.Second
)

// Steps of errors.
const (
	StepOrder = "order"
	StepState = "target state"
)

// Fencing is the number that an order carries; it grows by term, then index.
type Fencing struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// FencingOf makes the fencing number of a log position.
func FencingOf(at replica.Position) Fencing {
	return Fencing{Term: at.Term, Index: at.Index}
}

// Less tells whether f is older than g.
func (f Fencing) Less(g Fencing) bool {
	return f.Term < g.Term || (f.Term == g.Term && f.Index < g.Index)
}

// Order is what one target is to be.
type Order struct {
	// Operation is the configuration revision in decimal.
	Operation string   `json:"operation"`
	Desired   string   `json:"desired"`
	Models    []string `json:"models,omitempty"`
	Role      string   `json:"role,omitempty"`
	Fencing   Fencing  `json:"fencing"`
}

// State is what a target says that it is.
type State struct {
	Desired string   `json:"desired"`
	Models  []string `json:"models"`
	Role    string   `json:"role"`
	Fencing Fencing  `json:"fencing"`
	// Incarnation grows with each start of the target.
	Incarnation uint64 `json:"incarnation"`
}

// FencedError means that the target holds an order with a higher number.
type FencedError struct {
	Newer Fencing
}

// Error names the higher number.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the target holds an order of term %d, index %d", e.Newer.Term, e.Newer.Index)
}

// Client calls targets. Each call uses a connection of its own, since a kept
// one could have gone silent.
type Client struct {
	http *http.Client
}

// NewClient makes a client.
func NewClient() *Client {
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			Proxy:              nil,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// State reads a target's state.
func (c *Client) State(ctx context.Context, addr string) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+statePath, nil)
	if err != nil {
		return nil, errs.Wrap(err, StepState, addr)
	}
	state := &State{}
	status, err := c.call(req, state)
	if err != nil {
		return nil, errs.Wrap(err, StepState, addr)
	}
	if status != http.StatusOK {
		return nil, errs.New(StepState, addr, fmt.Sprintf("the target answered with status %d", status))
	}
	return state, nil
}

// Order sends an order. It returns a *FencedError if the target holds a newer
// one. After any other error the target may have taken the order.
func (c *Client) Order(ctx context.Context, addr string, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return errs.Wrap(err, StepOrder, addr)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+orderPath, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err, StepOrder, addr)
	}
	req.Header.Set("Content-Type", "application/json")
	state := &State{}
	status, err := c.call(req, state)
	switch {
	case status == http.StatusConflict:
		return errs.Wrap(&FencedError{Newer: state.Fencing}, StepOrder, addr)
	case err != nil:
		return errs.Wrap(err, StepOrder, addr)
	case status/100 != 2:
		return errs.New(StepOrder, addr, fmt.Sprintf("the target answered with status %d", status))
	}
	return nil
}

// call returns the answer's status, and its body if that is a state. Answers
// to orders needn't hold one.
func (c *Client) call(req *http.Request, state *State) (status int, err error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes+1))
	switch {
	case err != nil:
		return resp.StatusCode, err
	case len(body) > maxStateBytes:
		return resp.StatusCode, errors.New("the target's answer is too long")
	}
	if err := json.Unmarshal(body, state); err != nil && req.Method == http.MethodGet {
		return resp.StatusCode, fmt.Errorf("decoding the target's state: %w", err)
	}
	return resp.StatusCode, nil
}
