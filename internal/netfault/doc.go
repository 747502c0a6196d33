// Package netfault proxies connections and datagrams between processes on loopback addresses and injects network
// faults. Each direction between two parties can be cut, made silent or slow, and made to lose, duplicate or reorder
// data, and it can be healed.
//
// The package owns the sockets of the links and the goroutines that serve them until Net.Close. It must not interpret
// or change the data, and it identifies parties only by their names.
package netfault
