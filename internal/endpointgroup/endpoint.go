// Package endpointgroup holds what a sender knows of its endpoints: what discovery has listed, numbered for the
// controller, which of them operators have excluded, whether sends are suspended while the list is uncertain, and the
// endpoints that left, kept over a restart. It decides nothing about sends (package permit and the controller do),
// and asks discovery nothing.
package endpointgroup

import "cleathold/control"

// Target is one endpoint as the group knows it.
type Target struct {
	ID   string `json:"ID"`
	Addr string `json:"Addr"`
	control.Endpoint
}

// ListedTarget is a target as discovery lists it.
type ListedTarget struct {
	ID   string `json:"id"`
	Dest int    `json:"dest"`
	Kind int    `json:"kind"`
	Up   bool   `json:"up"`
}

// NoVersion stands where no version of the list is known. Zero won't do: it is a version, that of a list
// which has not changed yet.
const NoVersion = -1
