package state

import (
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
)

// Transport carries calls to endpoints. None of its methods may block; how a call ended is posted to the loop, once
// for each attempt (CallEnded), and so is the result of a health check (HealthChecked).
type Transport interface {
	Send(c *Call)
	Cancel(c *Call)
	// CancelUnsent ends a call as not sent if its first byte has not left yet.
	CancelUnsent(c *Call)
	HealthCheck(t Target, deadline time.Time)
	Disconnect(target string)
}

// Discovery polls discovery. It posts ListUpdate, ListUnreadable, PollOpen and PollFailed.
type Discovery interface {
	Watch(on bool, since int64)
	Fetch()
}

// Reporter delivers reports in order until they are acknowledged, and posts ReportsAcknowledged. It never blocks.
type Reporter interface {
	Report(n DeliveryReport)
}

// GossipSender tells the other senders of the fleet. It never blocks.
type GossipSender interface {
	SendGossip(facts []gossip.Observation)
}

// Successor is the process that comes after this one, to one that has handed over.
type Successor interface {
	// RemoteResult tells how an attempt ended; none more is in flight after the last.
	RemoteResult(r RemoteResult, last bool)
}

// LoopLoad is how busy the loop is: calls in flight and open messages, with what either may reach.
type LoopLoad struct{ MaxInFlight, InFlight, MaxOpenMessages, Open int }

// DestinationCapacity is what the endpoint group knows of a destination.
type DestinationCapacity struct {
	Weight float64 // calls a second that it takes from all senders together; 0 = not known
	Ready  int     // endpoints that take new work
}

// DeadLetterQueue keeps what can't be delivered. None of its methods may block: the loop calls them within its
// iterations. It posts Redelivery, and DeadLettersStored once it has a dead letter.
type DeadLetterQueue interface {
	// ClassesChanged tells, before Begin and again with new settings, the names of all classes by number, those of
	// messages from before other settings included, which numbers the names of the settings have now, and the settings.
	ClassesChanged(names []string, now map[string]int, set control.Settings)
	// Begin tells once, at the start, which dead letters the log still owes (by message id), and which records are being
	// sent again.
	Begin(owed []string, out []uint64)
	// Accepts tells who gets a message that ends: the queue (true) or its client.
	Accepts(p *DeadLetter) bool
	// Add gives it a dead letter; DeadLettersStored is owed for it, except where it was not admitted.
	Add(p DeadLetter)
	// Forget tells that the log has forgotten messages, so that they never come again.
	Forget(ids []string)
	// CallEnded tells how a call ended.
	CallEnded(destination int, r control.Result, wait time.Duration, resend bool)
	// CapacityChanged tells what is known of the destinations.
	CapacityChanged(map[int]DestinationCapacity)
	// LoadChanged tells how busy the loop is, once an iteration.
	LoadChanged(LoopLoad)
}
