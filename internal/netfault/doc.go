// Package netfault puts links between processes on loopback addresses: connections and datagrams pass through them,
// and each direction of each pair of parties can be cut, silent, slow, lossy, duplicating or reordering, and healed.
//
// It owns the sockets of the links and the goroutines that serve them, until Net.Close. It must not read or change
// what passes, and it knows nothing of the parties but their names.
package netfault
