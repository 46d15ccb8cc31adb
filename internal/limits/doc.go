// Package limits enforces the limits of contracts over all routers. The home
// router of a customer lends shares of the limits to the routers that serve
// the customer, by their demand and for a short lifetime; each router enforces
// its share locally.
//
// Bound: one home never lends more than the contract at any moment. A router
// that can't reach the home falls back on an equal part of the contract. So
// with one home in force the routers together hold at most the contract, plus
// once the contract in fallback parts while the home is unreachable. After the
// home is lost its shares last at most ShareLifetime; until then the new
// home's shares come on top, at most once the contract.
package limits
