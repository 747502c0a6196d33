package control

// EndpointID names an endpoint. It carries no meaning beyond identity.
type EndpointID uint32

// EndpointState is the state of an endpoint in the list. It says nothing of health.
type EndpointState uint8

// The states of a listed endpoint.
const (
	Removed EndpointState = iota
	Ready
	Draining // no new work; what is in flight ends
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	ID          EndpointID    `json:"ID"`
	Destination int           `json:"Destination"` // stays as it was when the endpoint was first listed
	Kind        int           `json:"Kind"`        // index into Settings.Kinds
	Zone        int           `json:"Zone"`
	State       EndpointState `json:"State"`
	Weight      float64       `json:"Weight"` // see Settings.WeightKind
}

// ListUpdateKind says how an update of the endpoint list is to be read.
type ListUpdateKind uint8

// The kinds of list updates.
const (
	ListDelta    ListUpdateKind = iota // changes only
	ListFull                           // the complete list
	ListCached                         // the complete list as it was known at the start; it may be old
	ListFailed                         // a poll failed, or the subscription broke
	ListExcluded                       // operators excluded endpoints, or ended that; it says nothing of the list
)
