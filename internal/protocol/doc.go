// Package protocol implements the network I/O of the sender over HTTP/1.1 and UDP. It accepts messages from clients,
// sends calls and health checks to endpoints, polls discovery, sends delivery reports to the platform and exchanges
// gossip with peers.
//
// The package owns the sockets with their buffers and deadlines, and the states of the client connections. It must not
// decide what is sent, retried or rejected: it posts everything it reads as an event to the event loop of package
// state, which makes these decisions. It stores nothing on disk.
package protocol
