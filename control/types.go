package control

import "time"

// MessageID names a message for as long as its host lives; it is never reused.
type MessageID uint32

// EndpointID names an endpoint. It carries no meaning beyond identity.
type EndpointID uint32

// Idempotency says what repeating a message does at its destination.
type Idempotency uint8

// The effects a class of message can have.
const (
	Idempotent      Idempotency = iota // may be repeated at will
	IdempotentByKey                    // repeats are dropped for a while
	NotIdempotent                      // must never run twice
)

// Class describes one class of message.
type Class struct {
	LatencyObjective time.Duration // full worth when served by this age
	ObjectiveStretch float64       // the aim grows by this multiple of the expected work
	Deadline         time.Duration // age at which the message is given up
	PriorityWeight   float64       // worth of one message
	LateWeight       float64       // share of the worth left at the deadline
	Idempotency      Idempotency
	KeyZoneScoped    bool          // keyed: repeats are dropped only within one zone
	KeyRetention     time.Duration // keyed: how long repeats are dropped
	Ordered          bool          // messages with one key take turns by arrival
	Streaming        bool          // the answer starts before it ends
}

// Kind describes one kind of destination.
type Kind struct {
	MaxBatch       int  // messages that may share one call; at least 1
	SeparateRoutes bool // endpoints are routes apart: own limit, waits and outages
}

// Tenant describes one customer sharing the service.
type Tenant struct {
	Quota    float64 // messages a second within its share, over all instances
	Fraction float64 // fraction of the service
}

// WeightKind says what Endpoint.Weight holds.
type WeightKind uint8

// The forms that weights take.
const (
	WeightsUnset       WeightKind = iota // Weight says nothing
	WeightsNominal                       // calls a second the destination takes from all instances together
	WeightsApproximate                   // the same, far from exact
)

// Settings is all that a controller is told at its start.
type Settings struct {
	Seed              uint64
	Index             int // this instance among its siblings
	FleetSize         int // instances that share the traffic, this one included
	Zone              int
	Classes           []Class
	Kinds             []Kind
	Tenants           []Tenant
	OverQuotaFactor   float64 // worth of traffic beyond a tenant's share, as a fraction
	WeightHalves      bool    // worth halves with each further aim; else it falls evenly
	WeightByWork      bool    // a message counts by its expected work, not as one
	MaxInFlight       int     // calls out at once
	MaxOpenMessages   int     // messages held, sent or not; 0 = no limit
	MaxAttempts       int     // attempts for one message; 0 = no limit
	AllowHedging      bool    // two attempts for one message may be out at once
	CanCancel         bool
	CanHealthCheck    bool
	CanGossip         bool          // siblings may be told what was seen
	CanSendRetryAfter bool          // clients receive retry advice
	MaxRetryAfter     time.Duration // the longest advice that clients heed
	StreamsPerConn    int           // calls one connection carries at once
	ConnIdleTimeout   time.Duration // an idle connection closes after this
	ConnectTimeout    time.Duration
	HeadroomIndex     int        // place in Outcome.Load of the share of the limit left; -1 = none
	LimitIndex        int        // place in Outcome.Load of the limit in calls a second; -1 = none
	WeightKind        WeightKind // what Endpoint.Weight holds
	PollsList         bool       // the endpoint list answers only when asked
	Tick              time.Duration
	ResponseGrace     time.Duration // a final answer this late still counts
	MaxPollInterval   time.Duration // unasked for this long, the list counts as told; 0 = no such rule
	DrainGrace        time.Duration
	ColdCapacity      float64       // share of its capacity that a destination has after an outage
	WarmUp            time.Duration // the time by which it has all of it
	OverloadFactor    float64       // times its present capacity that pushes a cold destination over...
	OverloadWindow    time.Duration // ...when sent for so long
	OrderedPause      time.Duration // rest of a key after an attempt that may still run
	RejectionCost     float64       // price of calls turned away above a limit
	ConnectionCost    float64       // price of opened connections
	HealthCheckCost   float64       // price of probes
	WastedWorkCost    float64       // price of work that served nothing
	ZoneCosts         []float64     // per zone: price of messages taken on by a route apart there
}

// Message is one message handed in.
type Message struct {
	ID           MessageID
	Class        int
	Destination  int
	TimeLeft     time.Duration // until it is given up
	ExpectedWork time.Duration // expected work; 0 = not told
	Key          uint64        // for classes in order; 0 = none
	Tenant       int
	Resubmitted  bool // handed in before
	Inherited    bool // comes from an instance that died

	// What was done for it before this controller: a host that restarts tells of it.
	Attempts     int           // attempts made
	MayHaveRun   bool          // one of them may have run
	FirstRunAgo  time.Duration // how long ago the first such was sent
	FirstRunZone int           // the zone it went to
}

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

// Result says how an attempt or a probe ended.
type Result uint8

// The results. Only Full, NoConnection, Crowded, Moot and Rejected prove that the attempt never ran.
const (
	Unknown            Result = iota // anything else: it may have run
	Served                           // delivered
	Failed                           // answered with an error
	Rejected                         // turned away unseen
	TimedOut                         // no answer in time
	ConnectFailed                    // no connection could be had
	ConnectionLost                   // the connection broke
	Canceled                         // called off
	NotSent                          // not sent
	Unprocessable                    // the destination can't use this message
	ConnectionRejected               // turned away unseen, for want of room for the connection
)

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool {
	return r != Rejected && r != ConnectFailed && r != ConnectionRejected && r != NotSent && r != Unprocessable
}

// Outcome tells how an attempt ended.
type Outcome struct {
	ID         MessageID
	Attempt    int
	Endpoint   EndpointID
	Result     Result
	Elapsed    time.Duration
	Final      bool          // the message is over: no answer is owed
	RetryAfter time.Duration // Full: send nothing there for so long; 0 = none told
	NoSlot     bool          // Moot: all slots were taken
	LoadReport []float32     // the destination's report, if any
}

// ObservationKind is what one sender tells others that it saw of an endpoint.
type ObservationKind uint8

// What can be told.
const (
	ObservedNothing   ObservationKind = iota
	ObservedRejection                 // a call was refused above a limit
	ObservedRecovery                  // a call was served after an outage: it is back, and cold
	ReachabilityQuery                 // nothing: one that has heard nobody for a while asks whether anybody hears it
	ReachabilityReply                 // nothing: the answer to that, by a few
	ObservedDown                      // a call failed: it may be dead
	ObservedUp                        // a call was served where others' failed
	ObservedWarm                      // a call to one that is back was served as quickly as before
	observationKinds
)

// Known reports whether this version knows what is told.
func (s ObservationKind) Known() bool { return s > ObservedNothing && s < observationKinds }

// A Observation is one thing seen of an endpoint. It proves nothing of any message.
type Observation struct {
	Endpoint EndpointID
	Kind     ObservationKind
	Age      time.Duration // since the call that showed it was sent
	Peer     int           // of a note that is heard: the sibling that told it, by a number of its own
}

// A RouteState is what a controller knows of an endpoint's route, for the one that comes after it in another
// process of the same instance. Times are counted from the moment that it tells of.
type RouteState struct {
	Endpoint            EndpointID    `json:"Endpoint"`
	RetryAfter          time.Duration `json:"Wait"`    // nothing is to be sent for so long
	ConsecutiveFailures int           `json:"Bad"`     // answers in a row that served nothing
	FailingFor          time.Duration `json:"Since"`   // ago: the first of them
	CircuitOpen         bool          `json:"Open"`    // taken for an outage
	NextTrial           time.Duration `json:"Retry"`   // open: the next lone call in so long
	Backoff             time.Duration `json:"Backoff"` // open: the pause after the next failed call
	SlowStart           bool          `json:"Warming"` // in its slow start...
	RecoveredFor        time.Duration `json:"Back"`    // ...which began so long ago
	LimitFraction       float64       `json:"Share"`   // of its limit
	CallTime            time.Duration `json:"TM"`      // of the calls of its destination
	CallTimeDeviation   time.Duration `json:"Dev"`     // of the calls of its destination
}

// Actions is what a controller asks of its host. The host carries the calls
// out in the order they are made and never calls back into the controller.
type Actions interface {
	// Send calls an endpoint with the message; the attempts of a message count from 0.
	Send(id MessageID, to EndpointID, timeout time.Duration)
	// Cancel stops waiting for one attempt.
	Cancel(id MessageID, attempt int)
	// Reject is the final answer "handed back, trying again is harmless".
	Reject(id MessageID, retryAfter time.Duration)
	// Fail is the final answer "failed"; the client does not come again.
	Fail(id MessageID)
	// HealthCheck checks an endpoint without a message.
	HealthCheck(to EndpointID)
	// Disconnect closes the idle connections to an endpoint.
	Disconnect(to EndpointID)
	// Watch asks for the changes of the endpoint list from now on, or ends that.
	Watch(on bool)
	// Fetch asks for the whole endpoint list once.
	Fetch()
	// Gossip tells all siblings what was seen. It may be lost, and comes late.
	Gossip(n Observation)
	// SetTimer asks for a Woken event after a while.
	SetTimer(after time.Duration, token uint32)
	// Log adds a line to the host's log.
	Log(text string)
}
