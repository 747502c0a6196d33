package control

// EndpointID identifies an endpoint. The number has no further meaning.
type EndpointID uint32

// EndpointState is the state of an endpoint in the endpoint list. It does not describe the endpoint's health.
type EndpointState uint8

// The states of a listed endpoint.
const (
	Removed EndpointState = iota
	Ready
	Draining // no new calls; calls in flight may finish
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID    `json:"ID"`
	Destination int           `json:"Destination"` // does not change after the endpoint was first listed
	Kind        int           `json:"Kind"`        // index into Settings.Kinds
	Zone        int           `json:"Zone"`
	State       EndpointState `json:"State"`
	Weight      float64       `json:"Weight"` // see Settings.WeightKind
}

// ListUpdateKind is the kind of an update of the endpoint list.
type ListUpdateKind uint8

// The kinds of list updates.
const (
	ListDelta    ListUpdateKind = iota // changes only
	ListFull                           // the complete list
	ListCached                         // the complete list as cached by the host at its start; it may be outdated
	ListFailed                         // a poll failed or the subscription was lost
	ListExcluded                       // operators changed the exclusion of endpoints; unrelated to polls
)
