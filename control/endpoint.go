package control

// EndpointID names an endpoint. It carries no meaning beyond identity.
type EndpointID uint32

// EndpointState is where an endpoint stands in the list. It tells nothing of health.
type EndpointState uint8

// The states of a listed endpoint.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	ID          EndpointID    `json:"ID"`
	Destination int           `json:"Destination"`
	Kind        int           `json:"Kind"`
	Zone        int           `json:"Zone"`
	State       EndpointState `json:"State"`
	Weight      float64       `json:"Weight"`
}

// ListUpdateKind says how a list event is to be read.
type ListUpdateKind uint8

// The forms of list news.
const (
	ListDelta    ListUpdateKind = iota // changes only
	ListFull                           // all of the list
	ListCached                         // all of the list as it was known at the start; may be old
	ListFailed                         // asking failed, or the subscription broke
	ListExcluded                       // operators took some out, or put them back: it says nothing of the list itself
)
