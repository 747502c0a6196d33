// Package harness runs scenarios on real sockets and processes: simulated endpoints on loopback addresses, discovery
// and the receiver of delivery reports, clients that submit messages at the times of the plan, and senders as processes
// of the program under test.
//
// The package owns these sockets and processes, and the goroutines that serve them; none of them is left when a run has
// returned. Endpoint behavior, the contents and times of discovery answers, the service score and the rules that a run
// must satisfy are not defined here but in packages partner, simulation and audit, so that a plan has the same meaning
// on sockets as in virtual time.
package harness
