package rollout

import "time"

// Observation is what the agent beside a sender saw of it. Sights of a sender are ordered by At.
type Observation struct {
	Sender  string    `json:"sender"`
	At      time.Time `json:"at"` // when it was asked, by the agent's clock
	Serving bool      `json:"serving,omitempty"`
	Process string    `json:"process,omitempty"`
	Version string    `json:"version,omitempty"` // the name of what it runs
	Epoch   uint64    `json:"epoch,omitempty"`   // the highest that it has seen...
	Ended   bool      `json:"ended,omitempty"`   // ...of which nothing stands
	Drained bool      `json:"drained,omitempty"`
	Open    int       `json:"open,omitempty"` // messages that it still owes an end
	Facts   Counters  `json:"facts,omitzero"`
	Phase   string    `json:"phase,omitempty"` // in its own word, or why there is none
	Far     bool      `json:"far,omitempty"`   // the leader asked it itself, as the agent beside it is silent

	// What its agent has to say of the grant of an epoch: it came to nothing.
	FaultEpoch uint64 `json:"fault_epoch,omitempty"`
	Fault      string `json:"fault,omitempty"`
}

// Counters are counts of a process since its start, but for Restarts.
type Counters struct {
	Accepted  int64         `json:"taken,omitempty"`     // messages taken on
	Rejected  int64         `json:"refused,omitempty"`   // turned away at the door
	Delivered int64         `json:"delivered,omitempty"` // ends, by kind
	Deferred  int64         `json:"deferred,omitempty"`
	Failed    int64         `json:"failed,omitempty"`
	Called    int64         `json:"called,omitempty"`     // messages that had a first call
	Late      int64         `json:"late,omitempty"`       // of them, those that waited for it longer than a sender's LateSpan
	FirstCall time.Duration `json:"first_call,omitempty"` // sum of their times from the taking on to it
	MemoryMB  float64       `json:"memory_mb,omitempty"`
	Restarts  int           `json:"restarts,omitempty"` // crashes that its agent saw, since the agent's start
}
