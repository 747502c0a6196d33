package store

import (
	"log/slog"
	"time"
)

// Durability defines which failures an append survives once it has returned.
type Durability uint8

// Values of Durability.
const (
	ProcessExit Durability = iota // end of the process, also by SIGKILL
	GroupSync                     // power failure, after Sync has returned or GroupWait has passed
	EachAppend                    // power failure, as soon as the append has returned
)

// Options are the parameters of a store.
type Options struct {
	FS         FS
	Budget     int64 // maximum bytes of all files, each rounded up to blocks of 512; 0: unlimited
	Segment    int64 // maximum bytes of a segment; 0: a sixteenth of the budget
	Durability Durability
	GroupWait  time.Duration // with GroupSync, the maximum delay from an append to its sync
	Log        *slog.Logger  // nil: no logging
}
