package store

import (
	"log/slog"
	"time"
)

// Durability says what an append outlasts once it has returned.
type Durability uint8

// The durabilities.
const (
	Process Durability = iota // the end of the process, SIGKILL included
	Group                     // a power cut, once Sync has returned or GroupWait has passed
	Each                      // a power cut, at once
)

// Options are the parameters of a store.
type Options struct {
	FS         FS
	Budget     int64 // bytes of all files in the folder, each in whole blocks of 512; 0: no bound
	Segment    int64 // bytes of a segment; 0: a sixteenth of the budget
	Durability Durability
	GroupWait  time.Duration // Group: the longest time from an append to its sync
	Log        *slog.Logger  // nil: none
}
