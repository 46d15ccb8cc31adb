package replica

import "errors"

// ErrNotLeader means that this replica is not the leader. The proposal is not
// committed and will not be.
var ErrNotLeader = errors.New("this replica is not the leader")

// ErrOutcomeUnknown means that the proposal may or may not get committed.
var ErrOutcomeUnknown = errors.New("the proposal's outcome is unknown")
