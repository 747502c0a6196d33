package harness

import (
	"time"
)

// Faults are what a run on sockets does besides its plan.
type Faults struct {
	Answers     []AnswerFault // of discovery
	IdleClients []IdleClients
	// KeepConnections has clients go on using the connections that they have to a sender which is ending, until these end.
	KeepConnections bool
	// WatchTail has changes in the 200 ms after an answer to a watch count as told, as PROTOCOL says of a watch.
	WatchTail bool
	// Wrap returns the command in which a sender's program is started; nil starts the program itself.
	Wrap func(sender int, program string) []string
	// Sockets bounds the descriptors of a sender; 0 = 1,024.
	Sockets int
}

// An AnswerFailure is a way in which an answer of discovery fails.
type AnswerFailure string

// The failures. Cut ones end somewhere in the middle.
const (
	Stalls   AnswerFailure = "stalls"   // cut, and the connection stays open
	Closes   AnswerFailure = "closes"   // cut, and the connection is closed
	Resets   AnswerFailure = "resets"   // cut, and the connection is reset
	Garbles  AnswerFailure = "garbles"  // whole, and its body is no list
	Dribbles AnswerFailure = "dribbles" // in small pieces, over a second
	Delays   AnswerFailure = "delays"   // up to 900 ms late
	Silent   AnswerFailure = "silent"   // nothing of it comes
)

// AnswerFailures are all of them.
var AnswerFailures = []AnswerFailure{Stalls, Closes, Resets, Garbles, Dribbles, Delays, Silent}

// An AnswerFault has a share of discovery's answers fail for a time.
type AnswerFault struct {
	From, To time.Duration
	How      AnswerFailure
	Share    float64
}

// A IdleClients is idle clients that connect to each sender, hold on for a time and say nothing.
type IdleClients struct {
	From, To    time.Duration
	Connections int // to each sender
}

const (
	watchTailWindow    = 200 * time.Millisecond // a watch goes on for so long after an answer
	slowAnswerParts    = 20
	slowAnswerDuration = time.Second
	maxAnswerDelay     = 900 * time.Millisecond
)
