package main

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
	"cleathold/internal/wire"
)

// A host runs the instances of one process.
type host struct {
	reader    *wire.Reader
	reply     wire.Reply
	now       time.Duration
	lists     map[uint16][]control.Endpoint
	instances map[uint16]*instance
	due       []uint16 // instances with events in this batch, in order of the first
}

// An instance is one sender's controller. Each message keeps the class that it came with, so that numbers of classes
// in its settings are not those of the controller once they have changed.
type instance struct {
	*control.Controller
	seed    uint64
	classes []control.Class // all that were ever told
	numbers []int           // by number in the latest settings, which of them
}

// number takes up the classes of settings, and gives the settings all that were ever told.
func (i *instance) number(set *control.Settings) {
	classes, numbers := slices.Clone(i.classes), []int(nil)
	for _, c := range set.Classes {
		n := 0
		for n < len(classes) && (classes[n] != c || slices.Contains(numbers, n)) {
			n++
		}
		if n == len(classes) {
			classes = append(classes, c)
		}
		numbers = append(numbers, n)
	}
	i.classes, i.numbers, set.Classes = classes, numbers, classes
}

// class is the controller's number of a class of the latest settings; one of none, as the controller takes it.
func (i *instance) class(n int) int {
	if n < len(i.numbers) {
		return i.numbers[n]
	}
	return -1
}

// retune has an instance take other settings; those that make no sense are its fault.
func (i *instance) retune(now time.Duration, text []byte) error {
	set, err := wire.ParseSettings(text, i.seed)
	if err != nil {
		return err
	}
	next := *i
	next.number(&set)
	if err := i.UpdateSettings(now, set); err != nil {
		return err
	}
	*i = next
	return nil
}

func newHost(in io.Reader) *host {
	return &host{
		reader: wire.NewReader(bufio.NewReaderSize(in, 1<<16)),
		lists:  map[uint16][]control.Endpoint{}, instances: map[uint16]*instance{},
	}
}

// batch hands the events of a batch to their instances and collects the reply.
func (h *host) batch(b wire.Batch) error {
	h.reply.Reset()
	h.now = wire.Duration(b.ClockMs)
	for _, e := range b.Events {
		if err := h.event(e); err != nil {
			return err
		}
	}
	for _, who := range h.due {
		h.decide(who)
	}
	h.due = h.due[:0]
	return nil
}

// decide lets an instance act once its events of the batch are in.
func (h *host) decide(who uint16) {
	defer h.blame(who)
	if c := h.instances[who]; c != nil {
		c.Decide(h.now)
	}
}

// blame takes a panic of the module for its instance's fault.
func (h *host) blame(who uint16) {
	if p := recover(); p != nil {
		h.reply.Bug(who, fmt.Sprint("panic: ", p))
		delete(h.instances, who)
	}
}

// event handles one event.
func (h *host) event(e wire.Event) error {
	who := instanceOf(e)
	defer h.blame(who)
	switch e := e.(type) {
	case wire.Census:
		h.lists[e.Table] = endpoints(e.Entries)
		return nil
	case wire.Start:
		h.start(e)
		return nil
	case wire.Destroy:
		delete(h.instances, e.Who)
		return nil
	case wire.Discovery:
		if _, known := h.lists[e.Table]; !known && e.Form != wire.FormFailed {
			return fmt.Errorf("a Discovery for instance %d names list %d, which was never sent", e.Who, e.Table)
		}
	}
	if c := h.instances[who]; c != nil {
		h.deliver(c, e)
		if !slices.Contains(h.due, who) {
			h.due = append(h.due, who)
		}
	}
	return nil
}

// start creates an instance; settings that make no sense are its fault.
func (h *host) start(e wire.Start) {
	delete(h.instances, e.Who)
	set, err := wire.ParseSettings(e.Settings, e.Seed)
	if err == nil {
		i := &instance{seed: e.Seed}
		i.number(&set)
		if i.Controller, err = control.New(set, &actions{&h.reply, e.Who}); err == nil {
			h.instances[e.Who] = i
			return
		}
	}
	h.reply.Bug(e.Who, "settings: "+err.Error())
}

// deliver calls the controller's method for an event.
func (h *host) deliver(c *instance, e wire.Event) {
	switch e := e.(type) {
	case wire.Retune:
		if err := c.retune(h.now, e.Settings); err != nil {
			h.reply.Bug(e.Who, "new settings: "+err.Error())
		}
	case wire.Discovery:
		var list []control.Endpoint
		if e.Form != wire.FormFailed {
			list = h.lists[e.Table]
		}
		c.UpdateEndpoints(h.now, newsOf(e.Form), list)
	case wire.JobIn:
		m := message(e)
		m.Class = c.class(m.Class)
		c.Submit(h.now, m)
	case wire.First:
		c.StreamStarted(h.now, control.MessageID(e.Txn))
	case wire.ReportBack:
		c.AttemptDone(h.now, outcome(e))
	case wire.Expired:
		c.Abandon(h.now, control.MessageID(e.Txn))
	case wire.Wakeup:
		c.TimerFired(h.now, e.Nonce)
	case wire.Pong:
		c.HealthChecked(h.now, control.EndpointID(e.Endpoint), resultOf(e.Code), wire.Duration(e.TookMs), e.Feedback)
	case wire.Memo:
		facts, _ := gossip.Decode(e.Blob) // one that can't be read is as good as lost
		for _, f := range facts {
			c.ReceiveGossip(h.now, control.Observation{Endpoint: control.EndpointID(f.EndpointHash), Kind: f.Kind, Age: f.Age, Peer: int(e.From)})
		}
	}
}

// instanceOf tells which instance an event is for.
func instanceOf(e wire.Event) uint16 {
	switch e := e.(type) {
	case wire.Start:
		return e.Who
	case wire.Destroy:
		return e.Who
	case wire.Discovery:
		return e.Who
	case wire.JobIn:
		return e.Who
	case wire.First:
		return e.Who
	case wire.ReportBack:
		return e.Who
	case wire.Expired:
		return e.Who
	case wire.Wakeup:
		return e.Who
	case wire.Pong:
		return e.Who
	case wire.Memo:
		return e.Who
	case wire.Retune:
		return e.Who
	}
	return 0
}

func newsOf(form uint8) control.ListUpdateKind {
	switch form {
	case wire.FormDelta:
		return control.ListDelta
	case wire.FormFull:
		return control.ListFull
	case wire.FormCached:
		return control.ListCached
	}
	return control.ListFailed
}

func resultOf(code uint16) control.Result {
	switch code {
	case 200:
		return control.Served
	case 500:
		return control.Failed
	case 503:
		return control.Rejected
	case 504:
		return control.TimedOut
	case 502:
		return control.ConnectFailed
	case 598:
		return control.ConnectionLost
	case 499:
		return control.Canceled
	case 410:
		return control.NotSent
	}
	return control.Unknown
}

func stateOf(lifecycle uint8) control.EndpointState {
	switch lifecycle {
	case 1:
		return control.Ready
	case 2:
		return control.Draining
	}
	return control.Removed
}

func endpoints(entries []wire.Entry) []control.Endpoint {
	out := make([]control.Endpoint, len(entries))
	for i, e := range entries {
		out[i] = control.Endpoint{
			ID: control.EndpointID(e.Endpoint), Destination: int(e.Cell), Kind: int(e.Type), Zone: int(e.Zone),
			State: stateOf(e.Lifecycle), Weight: float64(e.Units),
		}
	}
	return out
}

func message(e wire.JobIn) control.Message {
	m := control.Message{
		ID: control.MessageID(e.Txn), Class: int(e.Class), Destination: int(e.FarEnd),
		TimeLeft: wire.Duration(e.RemainingMs), Key: e.PathKey, Tenant: int(e.UserGroup),
		Resubmitted: e.Marks&wire.MarkAgain != 0, Inherited: e.Marks&wire.MarkInherited != 0,
	}
	if e.Marks&wire.MarkHint != 0 {
		m.ExpectedWork = wire.Duration(e.ExpectedMs)
	}
	return m
}

func outcome(e wire.ReportBack) control.Outcome {
	o := control.Outcome{
		ID: control.MessageID(e.Txn), Attempt: int(e.SendNo), Endpoint: control.EndpointID(e.Endpoint),
		Result: resultOf(e.Code), Elapsed: wire.Duration(e.TookMs), Final: e.Finished, LoadReport: e.Feedback,
	}
	switch o.Result {
	case control.Rejected:
		o.RetryAfter = wire.Duration(float64(e.RemarkMs))
	case control.NotSent:
		o.NoSlot = e.RemarkMs == 1
	}
	return o
}

// actions puts an instance's actions on the wire.
type actions struct {
	reply *wire.Reply
	who   uint16
}

func (a *actions) Send(id control.MessageID, to control.EndpointID, timeout time.Duration) {
	a.reply.Forward(a.who, uint32(id), uint32(to), wire.Millis(timeout))
}

func (a *actions) Cancel(id control.MessageID, attempt int) {
	a.reply.Withdraw(a.who, uint32(id), uint16(attempt))
}

func (a *actions) Reject(id control.MessageID, retryAfter time.Duration) {
	a.reply.OverloadReply(a.who, uint32(id), wire.Millis(max(retryAfter, 0)))
}

func (a *actions) Fail(id control.MessageID) { a.reply.Fail(a.who, uint32(id)) }

func (a *actions) HealthCheck(to control.EndpointID) { a.reply.Test(a.who, uint32(to)) }

func (a *actions) Disconnect(to control.EndpointID) { a.reply.Disconnect(a.who, uint32(to)) }

func (a *actions) Watch(on bool) { a.reply.Watch(a.who, on) }

func (a *actions) Fetch() { a.reply.Lookup(a.who) }

func (a *actions) SetTimer(after time.Duration, token uint32) {
	a.reply.Arm(a.who, wire.Millis(after), token)
}

func (a *actions) Gossip(n control.Observation) {
	a.reply.Say(a.who, gossip.Encode([]gossip.Observation{{EndpointHash: uint32(n.Endpoint), Kind: n.Kind, Age: n.Age}}))
}

func (a *actions) Log(text string) { a.reply.JournalLine(a.who, text) }
