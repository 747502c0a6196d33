// Package wire speaks the simulator's binary protocol: batches of events come in, replies of actions go out. The
// names of events and actions are those of the protocol's page (WIRE); all times travel as milliseconds. The package
// decides nothing.
package wire

// Bits of JobIn.Marks.
const (
	MarkHint      = 1
	MarkAgain     = 2
	MarkWrite     = 4
	MarkInherited = 16
)

// Forms of a Discovery.
const (
	FormDelta  = 0
	FormFull   = 1
	FormCached = 2
	FormFailed = 3
)

// Event is one record of a batch. Its types are those of this package.
type Event interface {
	// Instance is the number of the instance that the event is for; 0 for a Census, which is for all of them.
	Instance() uint16
}

// The events. Times are in milliseconds.
type (
	// Start begins an instance.
	Start struct {
		Who      uint16
		Seed     uint64
		Settings []byte
	}
	// Destroy kills an instance.
	Destroy struct{ Who uint16 }
	// Census is a numbered list of endpoints for the whole process.
	Census struct {
		Table   uint16
		Entries []Entry
	}
	// Discovery is news of the endpoint list for one instance.
	Discovery struct {
		Who   uint16
		Gen   uint64
		Table uint16
		Form  uint8
	}
	// JobIn is a new message.
	JobIn struct {
		Who         uint16
		Txn         uint32
		Class       uint16
		ExpectedMs  float64
		FarEnd      float32
		RemainingMs float64
		PathKey     uint64
		Marks       uint8
		UserGroup   uint32
	}
	// First tells that a streamed answer has commenced.
	First struct {
		Who      uint16
		Txn      uint32
		SendNo   uint16
		TookMs   float64
		Endpoint uint32
	}
	// ReportBack tells how an attempt ended.
	ReportBack struct {
		Who      uint16
		Txn      uint32
		SendNo   uint16
		Endpoint uint32
		Code     uint16
		TookMs   float64
		Finished bool
		RemarkMs uint32
		Feedback []float32
	}
	// Expired tells that nobody wants a message any more.
	Expired struct {
		Who uint16
		Txn uint32
	}
	// Wakeup tells that a timer has come due.
	Wakeup struct {
		Who   uint16
		Nonce uint32
	}
	// Pong is the result of a check.
	Pong struct {
		Who      uint16
		Endpoint uint32
		TookMs   float64
		Code     uint16
		Feedback []float32
	}
	// Retune is new settings for an instance that runs. Classes of JobIn count by them from then on.
	Retune struct {
		Who      uint16
		Settings []byte
	}
	// Memo is a message from another instance.
	Memo struct {
		Who  uint16
		From uint32
		Blob []byte
	}
)

// Entry is one line of a Census.
type Entry struct {
	Endpoint  uint32
	Zone      uint8
	Type      uint16
	Cell      uint16
	Lifecycle uint8
	Units     float32
	StartMs   float64
}

// entrySize is the length of an Entry on the wire.
const entrySize = 22

// Instance returns the number of the instance that the event is for.
func (e Start) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e Destroy) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e Discovery) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e JobIn) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e First) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e ReportBack) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e Expired) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e Wakeup) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e Pong) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e Retune) Instance() uint16 { return e.Who }

// Instance returns the number of the instance that the event is for.
func (e Memo) Instance() uint16 { return e.Who }

// Instance returns 0: a list is for all instances of the process.
func (e Census) Instance() uint16 { return 0 }
