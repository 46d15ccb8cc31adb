// Package admission orders the requests that wait for a place at targets. It
// is pure: callers pass the time in, and no function blocks.
//
// Customers share by weighted fair queueing: the outer choice is the customer
// that has received the least service for its weight, so that one customer's
// surge lengthens only its own queue. Within a customer the classes share by
// weight and cost: short requests of urgent classes come first, and a request
// that waits ages against them, so that the lowest class still arrives.
package admission
