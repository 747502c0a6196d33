package rollout

import "time"

// Observation is the state of a sender as an agent observed it. Observations of a sender are ordered by At.
type Observation struct {
	Sender   string    `json:"sender"`
	At       time.Time `json:"at"` // when the sender was polled, by the agent's clock
	Serving  bool      `json:"serving,omitempty"`
	Process  string    `json:"process,omitempty"`
	Version  string    `json:"version,omitempty"` // name of the version that it runs
	Epoch    uint64    `json:"epoch,omitempty"`   // the highest epoch that the sender has taken up or ended
	Ended    bool      `json:"ended,omitempty"`   // the lease of that epoch has ended
	Drained  bool      `json:"drained,omitempty"`
	Open     int       `json:"open,omitempty"` // accepted messages without an outcome
	Counters Counters  `json:"facts,omitzero"`
	Phase    string    `json:"phase,omitempty"` // as the sender reports it, or why it is unknown
	Remote   bool      `json:"far,omitempty"`   // the leader polled the sender, since its own agent does not report

	// Why the grant of an epoch could not be carried out, as reported by the sender's agent.
	FaultEpoch uint64 `json:"fault_epoch,omitempty"`
	Fault      string `json:"fault,omitempty"`
}

// Counters are counts since the start of the sender's process, except Restarts, which counts since the start of its
// agent.
type Counters struct {
	Accepted  int64         `json:"taken,omitempty"`     // messages
	Rejected  int64         `json:"refused,omitempty"`   // submissions
	Delivered int64         `json:"delivered,omitempty"` // messages by outcome
	Deferred  int64         `json:"deferred,omitempty"`
	Failed    int64         `json:"failed,omitempty"`
	Called    int64         `json:"called,omitempty"`     // messages with a first attempt
	Late      int64         `json:"late,omitempty"`       // messages whose first attempt came too late
	FirstCall time.Duration `json:"first_call,omitempty"` // sum of the times from acceptance to the first attempt
	MemoryMB  float64       `json:"memory_mb,omitempty"`
	Restarts  int           `json:"restarts,omitempty"` // crashes
}
