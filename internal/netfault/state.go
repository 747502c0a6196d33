package netfault

import "time"

// State contains the faults of one direction between two parties. The zero value means no faults.
type State struct {
	Cut       bool          `json:"Cut"`     // connections are reset and cannot be opened; datagrams are lost
	Silent    bool          `json:"Silent"`  // connections stay open but do not transfer data; datagrams are lost
	Delay     time.Duration `json:"Delay"`   // delay of each chunk of a connection and each datagram
	Jitter    time.Duration `json:"Jitter"`  // maximum random additional delay; datagrams may overtake one another
	Loss      float64       `json:"Loss"`    // fraction of datagrams lost, or of chunks delayed by a retransmission
	Duplicate float64       `json:"Double"`  // fraction of datagrams that are delivered twice
	Reorder   float64       `json:"Reorder"` // fraction of datagrams that are delayed by ten times the jitter
}

// Count contains the counters of one direction. A chunk is a datagram, or the data of one read of a connection.
type Count struct{ Bytes, Chunks, Lost int64 }

// A direction is one of the two directions between a pair of parties.
type direction struct{ from, to string }

// retransmissionDelay is approximately the time that TCP takes to detect and retransmit a lost packet.
const retransmissionDelay = 200 * time.Millisecond
