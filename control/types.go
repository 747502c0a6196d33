package control

import "time"

// MessageID names a message for as long as its host lives; it is never reused.
type MessageID uint32

// EndpointID names an endpoint. It carries no meaning beyond identity.
type EndpointID uint32

// Effect says what repeating a message does at its destination.
type Effect uint8

// The effects a class of message can have.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are dropped for a while
	Unsafe               // must never run twice
)

// Class describes one class of message.
type Class struct {
	Aim        time.Duration // full worth when served by this age
	AimStretch float64       // the aim grows by this multiple of the expected work
	Deadline   time.Duration // age at which the message is given up
	Worth      float64       // worth of one message
	LateWorth  float64       // share of the worth left at the deadline
	Effect     Effect
	ZoneScope  bool          // keyed: repeats are dropped only within one zone
	Memory     time.Duration // keyed: how long repeats are dropped
	InOrder    bool          // messages with one key take turns by arrival
	Streamed   bool          // the answer starts before it ends
}

// Kind describes one kind of destination.
type Kind struct {
	Batch int  // messages that may share one call; at least 1
	Apart bool // endpoints are routes apart: own limit, waits and outages
}

// Tenant describes one customer sharing the service.
type Tenant struct {
	Rate    float64 // messages a second within its share, over all instances
	Portion float64 // fraction of the service
}

// Weights says what Endpoint.Weight holds.
type Weights uint8

// The forms that weights take.
const (
	NoWeights      Weights = iota // Weight says nothing
	NominalWeights                // calls a second the destination takes from all instances together
	RoughWeights                  // the same, far from exact
)

// Settings is all that a controller is told at its start.
type Settings struct {
	Seed           uint64
	Index          int // this instance among its siblings
	Siblings       int // instances that share the traffic, this one included
	Zone           int
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant
	OverShareWorth float64 // worth of traffic beyond a tenant's share, as a fraction
	HalvingWorth   bool    // worth halves with each further aim; else it falls evenly
	WorthByWork    bool    // a message counts by its expected work, not as one
	Slots          int     // calls out at once
	HoldCap        int     // messages held, sent or not; 0 = no limit
	SendCap        int     // attempts for one message; 0 = no limit
	SecondCopies   bool    // two attempts for one message may be out at once
	CanCancel      bool
	CanProbe       bool
	CanTell        bool          // siblings may be told what was seen
	CanAdvise      bool          // clients receive retry advice
	MaxAdvice      time.Duration // the longest advice that clients heed
	StreamsPerConn int           // calls one connection carries at once
	ConnIdle       time.Duration // an idle connection closes after this
	ConnectTimeout time.Duration
	ReportShare    int     // place in Outcome.Load of the share of the limit left; -1 = none
	ReportLimit    int     // place in Outcome.Load of the limit in calls a second; -1 = none
	Weights        Weights // what Endpoint.Weight holds
	Ask            bool    // the endpoint list answers only when asked
	Tick           time.Duration
	AnswerSlack    time.Duration // a final answer this late still counts
	MustAsk        time.Duration // unasked for this long, the list counts as told; 0 = no such rule
	DrainGrace     time.Duration
	ColdFrom       float64       // share of its capacity that a destination has after an outage
	Cold           time.Duration // the time by which it has all of it
	FallMultiple   float64       // times its present capacity that pushes a cold destination over...
	FallWindow     time.Duration // ...when sent for so long
	TurnGap        time.Duration // rest of a key after an attempt that may still run
	RefusedPrice   float64       // price of calls turned away above a limit
	HandshakePrice float64       // price of opened connections
	ProbePrice     float64       // price of probes
	WastePrice     float64       // price of work that served nothing
	Tolls          []float64     // per zone: price of messages taken on by a route apart there
}

// Message is one message handed in.
type Message struct {
	ID          MessageID
	Class       int
	Destination int
	Remaining   time.Duration // until it is given up
	Expected    time.Duration // expected work; 0 = not told
	Key         uint64        // for classes in order; 0 = none
	Tenant      int
	Again       bool // handed in before
	Inherited   bool // comes from an instance that died

	// What was done for it before this controller: a host that restarts tells of it.
	Sends   int           // attempts made
	Ran     bool          // one of them may have run
	RanAgo  time.Duration // how long ago the first such was sent
	RanZone int           // the zone it went to
}

// State is where an endpoint stands in the list. It tells nothing of health.
type State uint8

// The states of a listed endpoint.
const (
	Removed State = iota
	Ready
	Draining
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	ID          EndpointID `json:"ID"`
	Destination int        `json:"Destination"`
	Kind        int        `json:"Kind"`
	Zone        int        `json:"Zone"`
	State       State      `json:"State"`
	Weight      float64    `json:"Weight"`
}

// ListNews says how a list event is to be read.
type ListNews uint8

// The forms of list news.
const (
	ListDelta  ListNews = iota // changes only
	ListFull                   // all of the list
	ListCached                 // all of the list as it was known at the start; may be old
	ListFailed                 // asking failed, or the subscription broke
	ListAside                  // operators took some out, or put them back: it says nothing of the list itself
)

// Result says how an attempt or a probe ended.
type Result uint8

// The results. Only Full, NoConnection, Crowded, Moot and Rejected prove that the attempt never ran.
const (
	Unknown      Result = iota // anything else: it may have run
	Served                     // delivered
	Errored                    // answered with an error
	Full                       // turned away unseen
	TimedOut                   // no answer in time
	NoConnection               // no connection could be had
	Broken                     // the connection broke
	Cancelled                  // called off
	Moot                       // not sent
	Rejected                   // the destination can't use this message
	Crowded                    // turned away unseen, for want of room for the connection
)

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool {
	return r != Full && r != NoConnection && r != Crowded && r != Moot && r != Rejected
}

// Outcome tells how an attempt ended.
type Outcome struct {
	ID       MessageID
	Attempt  int
	Endpoint EndpointID
	Result   Result
	Took     time.Duration
	Finished bool          // the message is over: no answer is owed
	Wait     time.Duration // Full: send nothing there for so long; 0 = none told
	NoSlot   bool          // Moot: all slots were taken
	Load     []float32     // the destination's report, if any
}

// Seen is what one sender tells others that it saw of an endpoint.
type Seen uint8

// What can be told.
const (
	SawNothing Seen = iota
	SawRefusal      // a call was refused above a limit
	SawReturn       // a call was served after an outage: it is back, and cold
	SawAsk          // nothing: one that has heard nobody for a while asks whether anybody hears it
	SawHere         // nothing: the answer to that, by a few
	SawDown         // a call failed: it may be dead
	SawUp           // a call was served where others' failed
	SawWarm         // a call to one that is back was served as quickly as before
	seenMost
)

// Known reports whether this version knows what is told.
func (s Seen) Known() bool { return s > SawNothing && s < seenMost }

// A Note is one thing seen of an endpoint. It proves nothing of any message.
type Note struct {
	Endpoint EndpointID
	What     Seen
	Ago      time.Duration // since the call that showed it was sent
	From     int           // of a note that is heard: the sibling that told it, by a number of its own
}

// A Recollection is what a controller knows of an endpoint's route, for the one that comes after it in another
// process of the same instance. Times are counted from the moment that it tells of.
type Recollection struct {
	Endpoint EndpointID    `json:"Endpoint"`
	Wait     time.Duration `json:"Wait"`    // nothing is to be sent for so long
	Bad      int           `json:"Bad"`     // answers in a row that served nothing
	Since    time.Duration `json:"Since"`   // ago: the first of them
	Open     bool          `json:"Open"`    // taken for an outage
	Retry    time.Duration `json:"Retry"`   // open: the next lone call in so long
	Backoff  time.Duration `json:"Backoff"` // open: the pause after the next failed call
	Warming  bool          `json:"Warming"` // in its slow start...
	Back     time.Duration `json:"Back"`    // ...which began so long ago
	Share    float64       `json:"Share"`   // of its limit
	TM       time.Duration `json:"TM"`      // of the calls of its destination
	Dev      time.Duration `json:"Dev"`     // of the calls of its destination
}

// Actions is what a controller asks of its host. The host carries the calls
// out in the order they are made and never calls back into the controller.
type Actions interface {
	// Send calls an endpoint with the message; the attempts of a message count from 0.
	Send(id MessageID, to EndpointID, timeout time.Duration)
	// Cancel stops waiting for one attempt.
	Cancel(id MessageID, attempt int)
	// Refuse is the final answer "handed back, trying again is harmless".
	Refuse(id MessageID, retryAfter time.Duration)
	// Fail is the final answer "failed"; the client does not come again.
	Fail(id MessageID)
	// Probe checks an endpoint without a message.
	Probe(to EndpointID)
	// Disconnect closes the idle connections to an endpoint.
	Disconnect(to EndpointID)
	// Watch asks for the changes of the endpoint list from now on, or ends that.
	Watch(on bool)
	// Fetch asks for the whole endpoint list once.
	Fetch()
	// Tell tells all siblings what was seen. It may be lost, and comes late.
	Tell(n Note)
	// Wake asks for a Woken event after a while.
	Wake(after time.Duration, token uint32)
	// Log adds a line to the host's log.
	Log(text string)
}
