// Package target is the client of the targets' control interface. It sends fenced
// orders to load models, drain or stop, and reads the state that a target reports. It
// does not decide what targets should do, and it does not send them callers' requests.
package target
