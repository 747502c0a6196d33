// Package lifecycle runs the sender as a process: it reads the configuration, builds and starts the parts, obeys
// signals, operators' orders and leases, hands over to another process, and stops in order.
//
// It owns the phase of the process (stateMachine), the configuration in force, and the goroutines of all parts. It
// must not decide what happens to a message: that is for package state and package control.
package lifecycle
