// Package endpointgroup maintains a sender's endpoint list: the targets listed by discovery with their numbers for the
// controller, the targets that operators have excluded, whether sends are suspended while the list is uncertain, and
// the targets that have left, which are stored across restarts. It does not decide about sends, which is done by
// package permit and the controller, and it does not query discovery.
package endpointgroup

import "cleathold/control"

// Target is an endpoint with its ID and address in discovery.
type Target struct {
	ID   string `json:"ID"`
	Addr string `json:"Addr"`
	control.Endpoint
}

// ListedTarget is the state of a target on the current endpoint list.
type ListedTarget struct {
	ID   string `json:"id"`
	Dest int    `json:"dest"`
	Kind int    `json:"kind"`
	Up   bool   `json:"up"`
}

// NoVersion is the version of the endpoint list if none has been received. It is not zero because zero is a valid
// version, that of a list which has not changed yet.
const NoVersion = -1
