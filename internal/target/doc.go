// Package target is the client of targets' control interface: orders to load,
// drain or stop, and the state that they report.
package target
