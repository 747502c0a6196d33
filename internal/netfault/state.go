package netfault

import "time"

// State is the fault of one direction between two parties. The zero value is a sound one.
type State struct {
	Cut       bool          `json:"Cut"`     // connections break and none comes up; datagrams are lost
	Silent    bool          `json:"Silent"`  // connections stay open and nothing passes; datagrams are lost
	Delay     time.Duration `json:"Delay"`   // of each piece of a connection and each datagram
	Jitter    time.Duration `json:"Jitter"`  // at most so much more delay; it lets datagrams overtake one another
	Loss      float64       `json:"Loss"`    // fraction of datagrams lost, or of pieces that come a retransmission later
	Duplicate float64       `json:"Double"`  // fraction of datagrams that come twice
	Reorder   float64       `json:"Reorder"` // fraction of datagrams that come later by ten times the jitter
}

// Count is what has passed in one direction. A piece is a datagram, or what one read of a connection returned.
type Count struct{ Bytes, Chunks, Lost int64 }

// A direction is one of the two between a pair of parties.
type direction struct{ from, to string }

// retransmissionDelay is about how long TCP takes to make up for a loss.
const retransmissionDelay = 200 * time.Millisecond
