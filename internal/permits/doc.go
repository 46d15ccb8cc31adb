// Package permits keeps the rate limits that targets name in their answers. Such a limit
// applies to the requests of all routers together.
//
// A request to a target that names a limit needs a permit. One router, the owner of the
// target, grants the permits for all routers, each for one request, by a token bucket that
// starts empty. A router without an answer from the owner sends nothing to a target that is
// known to name a limit. So a limit is never divided, however small it is and however many
// routers there are, and nothing has to be returned when a router ends.
//
// While the fleet is split, each part has an owner. An owner therefore grants only the
// fraction of a limit that corresponds to the fraction of the routers that it still reaches.
//
// Cold targets get permits too, by the rate that their service configures. Their buckets are
// smaller, so that two owners may grant in the same second.
//
// The package has no clock, I/O or goroutine. It does not select owners and sends no
// messages.
package permits
