// Package lifecycle runs the sender as a process: it loads the configuration, builds and starts the components, handles
// signals, operator commands and leases, hands over to a successor process, and shuts down in order.
//
// It owns the phase of the process (stateMachine), the configuration in force, and the goroutines of all components. It
// must not decide what happens to a message; packages state and control do that.
package lifecycle
