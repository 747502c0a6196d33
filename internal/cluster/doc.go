// Package cluster runs a fleet on one machine: senders and agents as processes of the program, each with loopback
// addresses of its own, links between them that can fail, endpoints and clients of package harness, and checks of
// what is seen from outside: whether messages are served, rules hold and no more senders are out than the budget
// allows.
//
// It owns the processes, links and folders of a cluster until Close. It must not use what the fleet tells of itself
// for its checks, and it decides nothing for the fleet: orders go to agents as staff give them.
package cluster
