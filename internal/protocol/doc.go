// Package protocol speaks HTTP/1.1 and UDP on sockets: it accepts the clients' messages, carries calls and health
// checks to endpoints, polls discovery, tells the platform of outcomes and exchanges gossip with the peers.
//
// It owns the sockets, their buffers and their deadlines, and the states of the clients' connections. It must not
// decide what is sent, retried or rejected: each thing that it reads becomes an event for the loop of package state,
// which decides. It keeps nothing on disk.
package protocol
