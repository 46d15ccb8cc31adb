// Package limits enforces the rate and concurrency limits of contracts across
// all routers. Rendezvous hashing selects one owner router for each customer.
// The owner allocates shares of the customer's limits to the routers that serve
// the customer, according to their demand. A share expires after ShareLifetime
// unless the router renews it. Each router enforces its share locally with
// token buckets, so that a request normally needs no call to another router.
//
// The package does not queue, order or select targets for requests.
//
// The sum of the shares has an upper bound:
//
//   - One owner never allocates more than the contract at any moment.
//   - A router that cannot reach the owner falls back to an equal fraction of the
//     contract. While the owner is unreachable, the fallback shares add at most
//     the contract once more to the owner's shares.
//   - After the owner fails, its shares stay valid for at most ShareLifetime.
//     During that time the new owner's shares add at most the contract once more.
package limits
