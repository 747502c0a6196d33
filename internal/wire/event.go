// Package wire implements the binary protocol of the simulator. It decodes batches of events and encodes replies that
// consist of actions. The names of events and actions are those of the protocol specification (WIRE). All times are
// encoded in milliseconds. The package contains no decision logic.
package wire

// Bits of JobIn.Marks.
const (
	MarkHint      = 1
	MarkAgain     = 2
	MarkWrite     = 4
	MarkInherited = 16
)

// Values of Discovery.Form.
const (
	FormDelta  = 0
	FormFull   = 1
	FormCached = 2
	FormFailed = 3
)

// Event is one record of a batch. This package defines all types that implement it.
type Event interface {
	// Instance returns the number of the instance that the event is for. It returns 0 for a Census, which is for all
	// instances.
	Instance() uint16
}

// The types of events. Times are in milliseconds.
type (
	// Start creates an instance.
	Start struct {
		Who      uint16
		Seed     uint64
		Settings []byte
	}
	// Destroy terminates an instance.
	Destroy struct{ Who uint16 }
	// Census is a numbered list of endpoints for the whole process.
	Census struct {
		Table   uint16
		Entries []Entry
	}
	// Discovery is an update of the endpoint list for one instance.
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
	// First reports that a streamed response has begun.
	First struct {
		Who      uint16
		Txn      uint32
		SendNo   uint16
		TookMs   float64
		Endpoint uint32
	}
	// ReportBack reports the outcome of an attempt.
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
	// Expired reports that the client no longer needs a message.
	Expired struct {
		Who uint16
		Txn uint32
	}
	// Wakeup reports that a timer has expired.
	Wakeup struct {
		Who   uint16
		Nonce uint32
	}
	// Pong is the result of a health check.
	Pong struct {
		Who      uint16
		Endpoint uint32
		TookMs   float64
		Code     uint16
		Feedback []float32
	}
	// Retune replaces the settings of a running instance. From then on JobIn.Class is an index into the classes of the
	// new settings.
	Retune struct {
		Who      uint16
		Settings []byte
	}
	// Memo is a gossip message from another instance.
	Memo struct {
		Who  uint16
		From uint32
		Blob []byte
	}
)

// Entry describes one endpoint in a Census.
type Entry struct {
	Endpoint  uint32
	Zone      uint8
	Type      uint16
	Cell      uint16
	Lifecycle uint8
	Units     float32
	StartMs   float64
}

// entrySize is the encoded length of an Entry in bytes.
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

// Instance returns 0, since an endpoint list is for all instances of the process.
func (e Census) Instance() uint16 { return 0 }
