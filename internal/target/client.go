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
	// maxStateBytes bounds the body of a target's response.
	maxStateBytes = 64 << 10
	// callTimeout bounds one call, even if the deadline of its context is later.
	callTimeout = 2 * time.Second
)

// Steps named in the errors of this package.
const (
	StepOrder = "order"
	StepState = "target state"
)

// Fencing is the fencing number of an order. A target rejects an order whose number is
// lower than that of the newest order it holds. Fencing numbers are ordered by term,
// then by index.
type Fencing struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// FencingOf returns the fencing number of a log position.
func FencingOf(at replica.Position) Fencing {
	return Fencing{Term: at.Term, Index: at.Index}
}

// Less reports whether f is lower than g, that is, whether the order of f is older.
func (f Fencing) Less(g Fencing) bool {
	return f.Term < g.Term || (f.Term == g.Term && f.Index < g.Index)
}

// Order is the desired state of one target.
type Order struct {
	// Operation is the configuration revision in decimal.
	Operation string `json:"operation"`
	// Desired is serve, drain or stop.
	Desired string   `json:"desired"`
	Models  []string `json:"models,omitempty"`
	// Role is the role that the target should have, as set by the operators; empty for
	// none. This package only passes it on.
	Role    string  `json:"role,omitempty"`
	Fencing Fencing `json:"fencing"`
}

// State is the state that a target reports.
type State struct {
	Desired string   `json:"desired"`
	Models  []string `json:"models"`
	Role    string   `json:"role"`
	Fencing Fencing  `json:"fencing"`
	// Incarnation increases with each start of the target.
	Incarnation uint64 `json:"incarnation"`
}

// FencedError means that the target holds an order with a higher fencing number.
type FencedError struct {
	Newer Fencing
}

// Error names the higher fencing number.
func (e *FencedError) Error() string {
	return fmt.Sprintf("the target holds an order of term %d, index %d", e.Newer.Term, e.Newer.Index)
}

// Client calls targets. Each call uses a new connection, because an idle keep-alive
// connection could have gone silent.
type Client struct {
	http *http.Client
}

// NewClient returns a client without keep-alive connections, compression or redirects.
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

// Order sends an order. It returns a *FencedError if the target holds a newer one.
// After any other error the target may have applied the order.
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

// call sends req, decodes the body of the response into state and returns the status.
// A body that can't be decoded is an error only if req reads the state: the response to
// an order need not contain a state.
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
		return resp.StatusCode, errors.New("the target's response exceeds the size limit")
	}
	if err := json.Unmarshal(body, state); err != nil && req.Method == http.MethodGet {
		return resp.StatusCode, fmt.Errorf("decoding the target's state: %w", err)
	}
	return resp.StatusCode, nil
}
