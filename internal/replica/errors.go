package replica

import "errors"

// ErrNotLeader means that this replica doesn't lead and nothing was appended.
var ErrNotLeader = errors.New("this replica is not the leader")

// ErrOutcomeUnknown means that a proposal may or may not be committed.
var ErrOutcomeUnknown = errors.New("the proposal's outcome is unknown")
