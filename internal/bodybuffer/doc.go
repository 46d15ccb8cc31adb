// Package bodybuffer reads request bodies into memory within a budget. Memory is charged to the
// owner of a request (a team or customer) as bytes arrive, and stays charged until the request
// ends. If the budget does not suffice, the unfinished body that has progressed least for its
// age is closed. The decisions are in accounts, which has no I/O, clock or goroutine.
package bodybuffer
