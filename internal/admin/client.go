package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxResponseBytes bounds an answer that the client reads.
const maxResponseBytes = 64 << 20

// Client calls the admin interface of one instance.
type Client struct {
	Addr  string
	Token string
	HTTP  *http.Client
}

// ErrUnreachable marks a failure to get any answer from the instance.
var ErrUnreachable = errors.New("the instance did not answer")

// StatusError is an answer other than success.
type StatusError struct {
	Status int
	Body   *pb.AdminError
	// Raw is the answer's body.
	Raw []byte
}

// Error returns the instance's message, with step and peer if given.
func (e *StatusError) Error() string {
	text := e.Body.GetMessage()
	if text == "" {
		text = fmt.Sprintf("answer %d: %s", e.Status, bytes.TrimSpace(e.Raw))
	}
	if e.Body.GetStep() != "" {
		text += " [step " + e.Body.Step
		if e.Body.Peer != "" {
			text += ", peer " + e.Body.Peer
		}
		text += "]"
	}
	return text
}

// Get reads path with query into out, a protobuf message or any JSON value.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	return c.do(ctx, http.MethodGet, path, query, nil, out)
}

// Post sends a message and reads the answer into out.
func (c *Client) Post(ctx context.Context, path string, query url.Values, in proto.Message, out any) error {
	return c.do(ctx, http.MethodPost, path, query, in, out)
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, in proto.Message, out any) error {
	var body io.Reader
	if in != nil {
		data, err := marshalOptions.Marshal(in)
		if err != nil {
			return errs.Wrap(err, "encode", "")
		}
		body = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: c.Addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), body)
	if err != nil {
		return errs.Wrap(err, "request", c.Addr)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errs.Wrap(fmt.Errorf("%w: %w", ErrUnreachable, err), "admin", c.Addr)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errs.Wrap(fmt.Errorf("%w: %w", ErrUnreachable, err), "admin", c.Addr)
	}
	if resp.StatusCode != http.StatusOK {
		return newStatusError(resp.StatusCode, raw)
	}
	return decodeResponse(raw, out)
}

func newStatusError(status int, raw []byte) error {
	body := &pb.AdminError{}
	opts := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := opts.Unmarshal(raw, body); err != nil {
		body = nil
	}
	return &StatusError{Status: status, Body: body, Raw: raw}
}

func decodeResponse(raw []byte, out any) error {
	if m, ok := out.(proto.Message); ok {
		opts := protojson.UnmarshalOptions{DiscardUnknown: true}
		return opts.Unmarshal(raw, m)
	}
	return json.Unmarshal(raw, out)
}
