// Package cluster runs a fleet on one machine: senders and agents as processes of the program, each with its own
// loopback addresses, links between them into which faults can be injected, and the endpoints and clients of package
// harness. It checks from outside that messages are served, that the rules are satisfied, and that no more senders are
// out than the budget allows.
//
// The package owns the processes, links and folders of a cluster until Close. Its checks must not rely on what the
// fleet reports about itself, and it makes no decisions for the fleet: orders are sent to agents in the same way as
// operators send them.
package cluster
