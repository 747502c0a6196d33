package netfault

import "time"

// State is what ails one way between two parties. The zero value is a sound one.
type State struct {
	Cut       bool          `json:"Cut"`     // connections break and none comes up; datagrams are lost
	Silent    bool          `json:"Silent"`  // connections stay open and nothing passes; datagrams are lost
	Delay     time.Duration `json:"Delay"`   // each piece, each datagram
	Jitter    time.Duration `json:"Jitter"`  // up to so much more; datagrams overtake one another by it
	Loss      float64       `json:"Loss"`    // part of the datagrams; a piece of a connection comes later by a retransmission
	Duplicate float64       `json:"Double"`  // part of the datagrams that come twice
	Reorder   float64       `json:"Reorder"` // part of the datagrams that come later by ten times the jitter
}

// Count is what has passed one way.
type Count struct{ Bytes, Pieces, Lost int64 }

type direction struct{ from, to string }

// retransmissionDelay is about how long TCP takes to make up for a loss.
const retransmissionDelay = 200 * time.Millisecond
