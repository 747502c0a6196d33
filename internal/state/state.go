// Package state keeps what the sender has taken on: the table of messages, the
// target group, the journal, and the loop that alone owns the controller. It
// speaks no protocol; those that do carry its calls and post what came of them.
package state

import (
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/note"
)

// MaxBody is the most that one message, or one call of several, may hold.
const MaxBody = 64 << 10

// FrameRoom is what a message needs in a call of several besides id, key and body.
const FrameRoom = 16

// Message is a message as it was handed in, in no protocol's terms.
type Message struct {
	ID, Key     string
	Class       int
	Tenant      int
	Destination int
	Deadline    time.Time
	Again       bool // handed in before, here or to a sender that died
	Inherited   bool // an earlier sender had it and did not answer
	Body        []byte
}

// Target is one endpoint as the target group knows it.
type Target struct {
	ID   string `json:"ID"`
	Addr string `json:"Addr"`
	control.Endpoint
}

// Listed is a target as discovery has it.
type Listed struct {
	ID   string `json:"id"`
	Dest int    `json:"dest"`
	Kind int    `json:"kind"`
	Up   bool   `json:"up"`
}

// NoVersion stands where no version of the list is known. Zero won't do: it is a version, that of a list
// which has not changed yet.
const NoVersion = -1

// News is one answer of discovery. Its targets are not numbered yet.
type News struct {
	Form    control.ListNews
	Version int64
	Targets []Target
	Rests   bool // the next question does not follow at once
}

// A Forward is one attempt for one message.
type Forward struct {
	Message  *Message
	Deadline time.Time // waited for until then
	Leave    time.Time // not sent after that; the zero time stands for the deadline
	num      control.MessageID
	attempt  int
	ended    bool
	off      bool // called off
	withheld bool // may not leave
}

// A Call is what travels on one connection: one forward, or several that go
// to one target in one round.
type Call struct {
	Target   Target
	Forwards []*Forward
	Connect  time.Time // by when a connection must be up
	room     int       // what the forwards take in one body
	size     int       // forwards that left with it
	unsent   int       // forwards whose client has not been answered yet
	launched bool
	carried  bool
	withheld bool // its target told to wait before it left
}

// End is what came of one forward of a call.
type End struct {
	Forward  *Forward
	Result   control.Result
	Took     time.Duration
	Left     time.Time     // when the first byte of its call was written; zero: none was, or it is not known
	Wait     time.Duration // told to send nothing there for so long
	Finished bool          // nothing more is owed
	NoSlot   bool
}

// Verdict answers a client that hands a message in.
type Verdict struct {
	Taken bool
	Again time.Duration // a fixed response: when to come back; 0 = not told
	Fatal bool          // a fixed response after which coming back is of no use
	Wrong Wrong         // a fixed response to what can't be taken on
}

// A Decision is made once: the loop takes a message on, or the listener, whose client can't wait any longer, refuses it.
type Decision struct{ made atomic.Bool }

// Refuse decides against the message. False: it has been taken on.
func (d *Decision) Refuse() bool { return d.made.CompareAndSwap(false, true) }

// take decides for it. False: its client has been refused.
func (d *Decision) take() bool { return d == nil || d.made.CompareAndSwap(false, true) }

// Wrong says what keeps a message that reads well from being taken on.
type Wrong uint8

const (
	Nothing       Wrong = iota
	NoDestination       // no target of its destination was ever listed
	IDTaken             // another message has or had this id
)

// Notice ends a message that was taken on and is not delivered.
type Notice struct {
	Num      control.MessageID
	ID       string
	Deferred bool // handed back; else undeliverable
	Again    time.Duration
	Kept     *Parting // the keeper gets the message
}

// Carrier carries calls to targets. None of its methods may block; what comes
// of a call is posted to the loop, once for each forward.
type Carrier interface {
	Carry(c *Call)
	Abandon(c *Call)
	// Withhold ends a call as moot if its first byte has not left yet.
	Withhold(c *Call)
	Probe(t Target, deadline time.Time)
	Disconnect(target string)
}

// Directory asks discovery. It posts News.
type Directory interface {
	Watch(on bool, since int64)
	Fetch()
}

// Notifier delivers notices in order until they are acknowledged. It never blocks.
type Notifier interface {
	Tell(n Notice)
}

// Teller tells the other senders of the tier. It never blocks.
type Teller interface {
	Tell(facts []note.Fact)
}

// The events that others post to the loop.
type (
	// Handed is a message that a listener has read; the verdict goes to its client.
	Handed struct {
		Message  *Message
		Verdict  chan<- Verdict // takes one without blocking
		Decision *Decision      // nil: its client waits for the verdict however long that takes
	}
	// Heard is a note from another sender, by its number.
	Heard struct {
		Sender int
		Facts  []note.Fact
	}
	// Answered tells that the verdict "taken" was written to the client, or could not be.
	Answered struct {
		ID string
		OK bool
	}
	// Ended tells what came of some forwards of a call.
	Ended struct {
		Call *Call
		Ends []End
	}
	// Probed answers a probe.
	Probed struct {
		Target control.EndpointID
		Result control.Result
		Took   time.Duration
	}
	// SetAside tells which targets operators have taken out: all of them, by their ids.
	SetAside struct{ IDs []string }
	// Acknowledged tells that the platform has taken notices.
	Acknowledged struct{ Nums []control.MessageID }
	// stopping asks for no new messages; halting for no new forwards.
	stopping struct{}
	halting  struct{}
	inspect  func()
)
