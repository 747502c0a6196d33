package rollout

import "time"

// Observation is what an agent saw of a sender. Observations of a sender are ordered by At.
type Observation struct {
	Sender  string    `json:"sender"`
	At      time.Time `json:"at"` // when it was asked, by the agent's clock
	Serving bool      `json:"serving,omitempty"`
	Process string    `json:"process,omitempty"`
	Version string    `json:"version,omitempty"` // name of its version
	Epoch   uint64    `json:"epoch,omitempty"`   // the highest epoch that the sender has seen...
	Ended   bool      `json:"ended,omitempty"`   // ...whose lease has ended
	Drained bool      `json:"drained,omitempty"`
	Open    int       `json:"open,omitempty"` // accepted messages without an outcome
	Facts   Counters  `json:"facts,omitzero"`
	Phase   string    `json:"phase,omitempty"` // in the sender's words, or why it is unknown
	Far     bool      `json:"far,omitempty"`   // the leader asked it, since its own agent does not answer

	// Why the grant of an epoch came to nothing, by the sender's agent.
	FaultEpoch uint64 `json:"fault_epoch,omitempty"`
	Fault      string `json:"fault,omitempty"`
}

// Counters are counts since the start of a process; Restarts since that of its agent.
type Counters struct {
	Accepted  int64         `json:"taken,omitempty"`     // messages
	Rejected  int64         `json:"refused,omitempty"`   // submissions
	Delivered int64         `json:"delivered,omitempty"` // outcomes of messages, by kind
	Deferred  int64         `json:"deferred,omitempty"`
	Failed    int64         `json:"failed,omitempty"`
	Called    int64         `json:"called,omitempty"`     // messages with a first attempt
	Late      int64         `json:"late,omitempty"`       // of them, those that waited too long for it
	FirstCall time.Duration `json:"first_call,omitempty"` // sum of the times from acceptance to the first attempt
	MemoryMB  float64       `json:"memory_mb,omitempty"`
	Restarts  int           `json:"restarts,omitempty"` // crashes
}
