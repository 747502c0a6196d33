package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
)

// Transport carries calls to endpoints, each on a connection of its own. None of its methods may block. It posts the result of each attempt to the loop
// exactly once (CallEnded), and the result of each health check (HealthChecked).
type Transport interface {
	Send(c *Call)
	Cancel(c *Call)
	// CancelUnsent ends a call as not sent if its first byte has not been written yet.
	CancelUnsent(c *Call)
	HealthCheck(t Target, deadline time.Time)
}

// Discovery polls the discovery service. It posts ListUpdate, ListUnreadable, ListResponseBegan, ListResponseEnded and
// PollFailed.
type Discovery interface {
	Watch(on bool, since int64)
	Fetch()
}

// Reporter delivers reports to the platform in order until they are acknowledged, and posts ReportsAcknowledged. It
// never blocks.
type Reporter interface {
	Report(r DeliveryReport)
}

// GossipSender sends observations to the other senders of the fleet. It never blocks.
type GossipSender interface {
	SendGossip(observations []gossip.Observation)
}

// Successor is the process that takes over from one that has handed over.
type Successor interface {
	// RemoteResult passes the result of an attempt to the successor. If last is set, no further attempt is in flight.
	RemoteResult(r RemoteResult, last bool)
}

// LoopLoad is the load of the loop: the calls in flight and the open messages, each with its limit.
type LoopLoad struct{ MaxInFlight, InFlight, MaxOpenMessages, Open int }

// DestinationCapacity is the capacity of a destination as the endpoint group knows it.
type DestinationCapacity struct {
	Weight float64 // calls per second that it takes from all senders together; 0 = not known
	Ready  int     // number of endpoints that take new work
}

// DeadLetterQueue keeps messages that can't be delivered. None of its methods may block: the loop calls them within its
// iterations. It posts Redelivery to have a message sent again, and DeadLettersStored once it has stored dead letters.
type DeadLetterQueue interface {
	// ClassesChanged is called before Begin and whenever the settings change. It passes the names of all classes by
	// number, including those of messages accepted under earlier settings, the numbers of the classes that the current
	// settings name, and the settings.
	ClassesChanged(names []string, current map[string]int, settings control.Settings)
	// Begin is called once, at the start. It passes the IDs of the messages that the log still owes to the queue, and
	// the records that are being redelivered.
	Begin(owed []string, redelivered []uint64)
	// Accepts reports whether the queue takes a message that ends. Otherwise its client gets it back.
	Accepts(d *DeadLetter) bool
	// Add passes a dead letter to the queue. The queue must post DeadLettersStored for it, unless the dead letter is a
	// redelivery that was not admitted.
	Add(d DeadLetter)
	// Forget passes the IDs of messages that the log no longer holds, so that their dead letters are never added again.
	Forget(ids []string)
	// CallEnded passes the result of an attempt.
	CallEnded(destination int, r control.Result, retryAfter time.Duration, redelivery bool)
	// CapacityChanged passes the known capacities by destination.
	CapacityChanged(map[int]DestinationCapacity)
	// LoadChanged passes the load of the loop, once per iteration.
	LoadChanged(LoopLoad)
}
