package harness

import (
	"time"

	"cleathold/internal/abuse"
)

// Faults contains the faults and special behavior of a run on sockets that are not part of its plan. The zero value
// injects no faults.
type Faults struct {
	Answers     []AnswerFault   // failures of discovery answers
	Responses   []ResponseFault // bytes that answer no request
	IdleClients []IdleClients
	Crowds      []Crowd
	// KeepConnections makes clients continue to use their connections to a sender that shuts down, until these are
	// closed.
	KeepConnections bool
	// WatchTail makes changes within 200 ms after an answer to a watch count as notified, as PROTOCOL defines it.
	WatchTail bool
	// KnownLists makes the configuration of each sender list the endpoints of the beginning of the run.
	KnownLists bool
	// HeldLists makes the configuration of each process but the first one list the endpoints as its sender last held them
	// (DEPLOY, "known").
	HeldLists bool
	Upgrades  []Upgrade
	// WrapCommand returns the command that starts a sender's program; nil starts the program itself.
	WrapCommand func(sender int, program string) []string
	// Sockets limits the number of file descriptors of a sender; 0 = 1,024.
	Sockets int
}

// An Upgrade is a new process of a sender that takes over from the one that serves.
type Upgrade struct {
	At     time.Duration
	Sender int
}

// An AnswerFailure is a failure mode of a discovery answer.
type AnswerFailure string

// The failure modes. A truncated answer ends at a random position.
const (
	Stalls   AnswerFailure = "stalls"   // truncated, and the connection stays open
	Closes   AnswerFailure = "closes"   // truncated, and the connection is closed
	Resets   AnswerFailure = "resets"   // truncated, and the connection is reset
	Garbles  AnswerFailure = "garbles"  // complete, with a body that is not a valid list
	Dribbles AnswerFailure = "dribbles" // sent in small pieces, over one second
	Delays   AnswerFailure = "delays"   // delayed by up to 900 ms
	Silent   AnswerFailure = "silent"   // not sent; the connection stays open
	Bloats   AnswerFailure = "bloats"   // as garbles, with a head of very many short fields
)

// AnswerFailures lists the failure modes of a server that breaks down, and not that of one that misuses the sender.
var AnswerFailures = []AnswerFailure{Stalls, Closes, Resets, Garbles, Dribbles, Delays, Silent}

// AgentFailures lists the failure modes of an agent's answers. A silent agent has learned nothing, as in an outage of
// discovery.
var AgentFailures = []AnswerFailure{Stalls, Closes, Resets, Garbles, Dribbles}

// An AnswerFault makes a fraction of discovery's answers fail, between two times of the plan's clock.
type AnswerFault struct {
	From, To time.Duration
	Failure  AnswerFailure
	Fraction float64 // fraction of the answers that fail, 0 to 1
}

// IdleClients are clients that connect to each sender and keep their connections open without sending anything.
type IdleClients struct {
	From, To    time.Duration
	Connections int // to each sender
}

// A Crowd are clients that misuse each sender.
type Crowd struct {
	From, To time.Duration
	Kind     abuse.Kind
	Clients  int // of each sender
}

const (
	bloatedAnswerBytes = 4 << 20 // of the head of an answer with Bloats

	watchTailWindow    = 200 * time.Millisecond // how long a watch still covers changes after its answer
	slowAnswerParts    = 20                     // number of pieces of an answer with Dribbles
	slowAnswerDuration = time.Second            // duration of an answer with Dribbles
	maxAnswerDelay     = 900 * time.Millisecond // of an answer with Delays
)
