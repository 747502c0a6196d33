package main

import (
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
	"cleathold/internal/wire"
)

// actions implements control.Actions for one instance. It appends each action to the reply that is sent to the
// simulator.
type actions struct {
	reply      *wire.Reply
	instanceID uint16
}

func (a *actions) Send(id control.MessageID, to control.EndpointID, timeout time.Duration) {
	a.reply.Forward(a.instanceID, uint32(id), uint32(to), wire.Millis(timeout))
}

func (a *actions) Cancel(id control.MessageID, attempt int) {
	a.reply.Withdraw(a.instanceID, uint32(id), uint16(attempt))
}

func (a *actions) Reject(id control.MessageID, retryAfter time.Duration) {
	a.reply.OverloadReply(a.instanceID, uint32(id), wire.Millis(max(retryAfter, 0)))
}

func (a *actions) Fail(id control.MessageID) { a.reply.Fail(a.instanceID, uint32(id)) }

func (a *actions) HealthCheck(to control.EndpointID) { a.reply.Test(a.instanceID, uint32(to)) }

func (a *actions) Disconnect(to control.EndpointID) { a.reply.Disconnect(a.instanceID, uint32(to)) }

func (a *actions) WatchEndpoints(on bool) { a.reply.Watch(a.instanceID, on) }

func (a *actions) FetchEndpoints() { a.reply.Lookup(a.instanceID) }

func (a *actions) SetTimer(after time.Duration, token uint32) {
	a.reply.Arm(a.instanceID, wire.Millis(after), token)
}

func (a *actions) Gossip(n control.Observation) {
	a.reply.Say(a.instanceID, gossip.Encode([]gossip.Observation{
		{EndpointHash: uint32(n.Endpoint), Kind: n.Kind, Age: n.Age},
	}))
}

func (a *actions) Log(text string) { a.reply.JournalLine(a.instanceID, text) }
