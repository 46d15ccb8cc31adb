// Package router serves callers: it reads and bounds what they send, passes it
// through the filter chain and writes the answer, whole or visibly cut.
package router
