package announce

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Bounds of requests from targets.
const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 64 << 10
	// MaxStatusBytes bounds an encoded status, since routers gossip it in
	// datagrams.
	MaxStatusBytes = 1000
	// MaxNameBytes bounds the names of targets, models, services, roles and data
	// centres.
	MaxNameBytes = 128
	// MaxCapacity bounds the number of concurrent requests that an engine may
	// declare.
	MaxCapacity = 100_000
	// MaxCacheEvents bounds the events in one request.
	MaxCacheEvents = 1000
)

// Reply is the reply to an announcement.
type Reply struct {
	// LeaseMS is how long the target stays listed after its latest announcement.
	LeaseMS int64 `json:"lease_ms"`
	// AnnounceEveryMS is the wait until the next announcement.
	AnnounceEveryMS int64 `json:"announce_every_ms"`
	// Routers are addresses (IP number and port) of other routers that accept
	// announcements, those in the target's data centre first. If absent, the target
	// keeps its list.
	Routers []string `json:"routers,omitempty"`
	// Stamp must be sent to the same router with the next announcement.
	Stamp string `json:"stamp"`
	// Listed is set if the announcement carried a stamp that this router issued
	// less than one lease ago. Otherwise the target must announce again at once,
	// with the new stamp.
	Listed bool `json:"listed"`
	// Draining is set if the router is shutting down. The target must announce to
	// another router at once.
	Draining bool `json:"draining,omitempty"`
	// TooManyTargets is set if more targets use this router than its reply rate
	// allows. The target must announce to another router from now on.
	TooManyTargets bool `json:"crowded,omitempty"`
}

// CacheEvents is a batch of changes of an engine's prefix cache.
type CacheEvents struct {
	Target      string `json:"target"`
	Incarnation uint64 `json:"incarnation"`
	// FromSequence is the sequence number of the first event in the batch.
	FromSequence uint64       `json:"from_sequence"`
	Events       []CacheEvent `json:"events"`
}

// Kinds of cache events.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
	// EventCleared means that the cache is empty. It is the first event of a
	// resync.
	EventCleared = "cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Kind is EventStored, EventEvicted or EventCleared.
	Kind string `json:"kind"`
	Chat string `json:"chat"`
}

// CacheReply is the reply to CacheEvents.
type CacheReply struct {
	// Resync requests that the engine send EventCleared and then one EventStored
	// for each chat in its cache.
	Resync bool `json:"resync"`
}

// LeaveRequest marks one incarnation of a target as leaving.
type LeaveRequest struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// ErrorReply is the body of every reply with an error status.
type ErrorReply struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Step    string `json:"step"`
}

// parseAnnouncement decodes and validates an announcement. It returns the status
// and the stamp.
func parseAnnouncement(body []byte) (*pb.TargetStatus, string, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, "", fmt.Errorf("the body is not a JSON object: %w", err)
	}
	stamp := ""
	if raw, ok := fields["stamp"]; ok {
		if err := json.Unmarshal(raw, &stamp); err != nil {
			return nil, "", errors.New("stamp must be a string")
		}
		delete(fields, "stamp")
	}
	expandKind(fields)
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, "", err
	}
	st := &pb.TargetStatus{}
	if err := protojson.Unmarshal(body, st); err != nil {
		return nil, "", fmt.Errorf("the announcement can't be read: %w", err)
	}
	return st, stamp, checkStatus(st)
}

// expandKind replaces the short names of target kinds by the names of the protobuf
// enum.
func expandKind(fields map[string]json.RawMessage) {
	switch string(fields["kind"]) {
	case `"engine"`:
		fields["kind"] = json.RawMessage(`"TARGET_KIND_ENGINE"`)
	case `"service"`:
		fields["kind"] = json.RawMessage(`"TARGET_KIND_SERVICE"`)
	}
}

func checkStatus(st *pb.TargetStatus) error {
	if err := checkName("id", st.Id, true); err != nil {
		return err
	}
	if st.Incarnation == 0 {
		return errors.New("incarnation must be above zero and grow with each start")
	}
	if st.Sequence == 0 {
		return errors.New("sequence must be above zero and grow with each announcement")
	}
	addr, err := netip.ParseAddrPort(st.Addr)
	if err != nil || addr.Port() == 0 {
		return fmt.Errorf("addr %q must be an IP number and a port", st.Addr)
	}
	if addr.Addr().IsUnspecified() {
		return fmt.Errorf("addr %q names no instance; give the IP number at which routers reach the target", st.Addr)
	}
	if err := checkName("data_centre", st.DataCentre, false); err != nil {
		return err
	}
	if err := checkName("role", st.Role, false); err != nil {
		return err
	}
	if err := checkKind(st); err != nil {
		return err
	}
	if n := proto.Size(st); n > MaxStatusBytes {
		return fmt.Errorf("the announcement takes %d bytes encoded, over the bound of %d; declare fewer models or routes", n, MaxStatusBytes)
	}
	return nil
}

func checkKind(st *pb.TargetStatus) error {
	switch st.Kind {
	case pb.TargetKind_TARGET_KIND_ENGINE:
		return checkEngine(st)
	case pb.TargetKind_TARGET_KIND_SERVICE:
		return checkService(st)
	default:
		return errors.New(`kind must be "engine" or "service"`)
	}
}

func checkEngine(st *pb.TargetStatus) error {
	if st.Capacity == 0 || st.Capacity > MaxCapacity {
		return fmt.Errorf("capacity of an engine must be from 1 to %d", MaxCapacity)
	}
	for _, model := range st.Models {
		if err := checkName("models", model, true); err != nil {
			return err
		}
	}
	if st.Load.GetCachePermille() > 1000 {
		return errors.New("load.cache_permille must be from 0 to 1000")
	}
	if len(st.Routes) > 0 || st.Service != "" {
		return errors.New("an engine declares models, not a service or routes")
	}
	return nil
}

func checkService(st *pb.TargetStatus) error {
	if err := checkName("service", st.Service, true); err != nil {
		return err
	}
	if strings.Contains(st.Service, "/") {
		return errors.New("service must not contain a slash")
	}
	if len(st.Models) > 0 {
		return errors.New("a service declares routes, not models")
	}
	for _, route := range st.Routes {
		if !strings.HasPrefix(route.PathPrefix, "/") {
			return fmt.Errorf("path_prefix %q of a route must begin with a slash", route.PathPrefix)
		}
	}
	return nil
}

// checkName checks the length of a name and rejects control characters, which must
// not reach the logs.
func checkName(field, name string, required bool) error {
	if name == "" && required {
		return fmt.Errorf("%s must not be empty", field)
	}
	if len(name) > MaxNameBytes {
		return fmt.Errorf("%s must be at most %d bytes long", field, MaxNameBytes)
	}
	for _, r := range name {
		if r < ' ' || r == 0x7f {
			return fmt.Errorf("%s must not contain control characters", field)
		}
	}
	return nil
}

func checkCacheEvents(e *CacheEvents) error {
	if err := checkName("target", e.Target, true); err != nil {
		return err
	}
	if e.Incarnation == 0 {
		return errors.New("incarnation must be above zero")
	}
	if len(e.Events) > MaxCacheEvents {
		return fmt.Errorf("at most %d events may be sent at once", MaxCacheEvents)
	}
	for i, event := range e.Events {
		if err := checkCacheEvent(event); err != nil {
			return fmt.Errorf("event %d: %w", i+1, err)
		}
		if event.Sequence != e.FromSequence+uint64(i) {
			return fmt.Errorf("event %d: sequence must grow by one, beginning at from_sequence", i+1)
		}
	}
	return nil
}

func checkCacheEvent(event CacheEvent) error {
	switch event.Kind {
	case EventStored, EventEvicted:
		if event.Chat == "" {
			return errors.New("chat must not be empty")
		}
		return nil
	case EventCleared:
		return nil
	default:
		return fmt.Errorf("kind must be %q, %q or %q", EventStored, EventEvicted, EventCleared)
	}
}
