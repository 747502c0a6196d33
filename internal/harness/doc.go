// Package harness runs scenarios on sockets and processes: endpoints behind loopback addresses, discovery and the
// receiver of delivery reports, clients that submit on the plan's clock, and senders as processes of the program
// under test.
//
// It owns these sockets, processes and the goroutines that serve them; a run that has returned leaves none behind. It
// must not decide how endpoints behave, what discovery tells and when, what counts as service or what breaks a rule:
// those decisions belong to packages partner, simulation and audit, so that a plan means the same here and in virtual
// time.
package harness
