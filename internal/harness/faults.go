package harness

import (
	"time"
)

// Faults are what a run on sockets does besides its plan. The zero value does nothing.
type Faults struct {
	Answers     []AnswerFault // failing answers of discovery
	IdleClients []IdleClients
	// KeepConnections has clients go on using their connections to a sender that shuts down, until these end.
	KeepConnections bool
	// WatchTail has changes in the 200 ms after an answer to a watch count as notified, as PROTOCOL says of a watch.
	WatchTail bool
	// Wrap returns the command that starts a sender's program; nil starts the program itself.
	Wrap func(sender int, program string) []string
	// Sockets bounds the file descriptors of a sender; 0 = 1,024.
	Sockets int
}

// An AnswerFailure is a way in which an answer of discovery fails.
type AnswerFailure string

// The failures. Those that cut an answer end it at a point that is drawn.
const (
	Stalls   AnswerFailure = "stalls"   // cut, and the connection stays open
	Closes   AnswerFailure = "closes"   // cut, and the connection is closed
	Resets   AnswerFailure = "resets"   // cut, and the connection is reset
	Garbles  AnswerFailure = "garbles"  // complete, and its body is no list
	Dribbles AnswerFailure = "dribbles" // in small pieces, over a second
	Delays   AnswerFailure = "delays"   // up to 900 ms late
	Silent   AnswerFailure = "silent"   // nothing of it is sent
)

// AnswerFailures are all ways in which an answer fails.
var AnswerFailures = []AnswerFailure{Stalls, Closes, Resets, Garbles, Dribbles, Delays, Silent}

// An AnswerFault has a share of discovery's answers fail, between two times of the plan's clock.
type AnswerFault struct {
	From, To time.Duration
	How      AnswerFailure
	Share    float64 // 0 to 1
}

// IdleClients are clients that connect to each sender, stay for a time and send nothing.
type IdleClients struct {
	From, To    time.Duration
	Connections int // to each sender
}

const (
	watchTailWindow    = 200 * time.Millisecond // a watch goes on for so long after an answer
	slowAnswerParts    = 20                     // of one that Dribbles
	slowAnswerDuration = time.Second
	maxAnswerDelay     = 900 * time.Millisecond
)
