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

// host runs the controllers of all simulated senders and applies the simulator's events to them.
type host struct {
	reader           *wire.Reader
	reply            wire.Reply
	now              time.Duration
	endpointLists    map[uint16][]control.Endpoint
	instances        map[uint16]*instance
	pendingDecisions []uint16 // instances with events in this batch, ordered by their first event
}

// instance is the controller of one sender. A message keeps the class with which it was submitted, also after the
// settings change. The controller therefore keeps all classes since the start, and its class numbers differ from those
// on the wire.
type instance struct {
	*control.Controller
	seed         uint64
	classes      []control.Class // all classes since the start, indexed by the controller's class number
	classNumbers []int           // maps a class number in the latest settings to the controller's class number
}

// renumberClasses adds the classes of new settings to the known classes, and replaces the classes in the settings with
// all known classes.
func (i *instance) renumberClasses(settings *control.Settings) {
	classes, numbers := slices.Clone(i.classes), []int(nil)
	for _, c := range settings.Classes {
		n := 0
		for n < len(classes) && (classes[n] != c || slices.Contains(numbers, n)) {
			n++
		}
		if n == len(classes) {
			classes = append(classes, c)
		}
		numbers = append(numbers, n)
	}
	i.classes, i.classNumbers, settings.Classes = classes, numbers, classes
}

// classNumber returns the controller's number for a class number of the latest settings, or -1 if there is no such
// class.
func (i *instance) classNumber(n int) int {
	if n < len(i.classNumbers) {
		return i.classNumbers[n]
	}
	return -1
}

// updateSettings changes the settings of a running instance. On an error the previous settings stay in force.
func (i *instance) updateSettings(now time.Duration, text []byte) error {
	settings, err := wire.ParseSettings(text, i.seed)
	if err != nil {
		return err
	}
	updated := *i
	updated.renumberClasses(&settings)
	if err := i.UpdateSettings(now, settings); err != nil {
		return err
	}
	*i = updated
	return nil
}

func newHost(in io.Reader) *host {
	return &host{
		reader:        wire.NewReader(bufio.NewReaderSize(in, 1<<16)),
		endpointLists: map[uint16][]control.Endpoint{}, instances: map[uint16]*instance{},
	}
}

// handleBatch applies the events of a batch to their instances, runs the decisions of these instances, and collects the
// reply.
func (h *host) handleBatch(b wire.Batch) error {
	h.reply.Reset()
	h.now = wire.Duration(b.ClockMs)
	for _, e := range b.Events {
		if err := h.handleEvent(e); err != nil {
			return err
		}
	}
	for _, instanceID := range h.pendingDecisions {
		h.decide(instanceID)
	}
	h.pendingDecisions = h.pendingDecisions[:0]
	return nil
}

// decide runs the decisions of an instance after all events of the batch have been applied.
func (h *host) decide(instanceID uint16) {
	defer h.recoverPanic(instanceID)
	if c := h.instances[instanceID]; c != nil {
		c.Decide(h.now)
	}
}

// recoverPanic recovers from a panic in a controller, reports it as a bug of the instance and removes the instance.
func (h *host) recoverPanic(instanceID uint16) {
	if p := recover(); p != nil {
		h.reply.Bug(instanceID, fmt.Sprint("panic: ", p))
		delete(h.instances, instanceID)
	}
}

// handleEvent applies one event. It returns an error if the event contradicts the events before it.
func (h *host) handleEvent(e wire.Event) error {
	instanceID := e.Instance()
	defer h.recoverPanic(instanceID)
	switch e := e.(type) {
	case wire.Census:
		h.endpointLists[e.Table] = endpoints(e.Entries)
		return nil
	case wire.Start:
		h.start(e)
		return nil
	case wire.Destroy:
		delete(h.instances, e.Who)
		return nil
	case wire.Discovery:
		if _, known := h.endpointLists[e.Table]; !known && e.Form != wire.FormFailed {
			return fmt.Errorf("a Discovery for instance %d refers to list %d, which was not received", e.Who, e.Table)
		}
	}
	if c := h.instances[instanceID]; c != nil {
		h.deliver(c, e)
		if !slices.Contains(h.pendingDecisions, instanceID) {
			h.pendingDecisions = append(h.pendingDecisions, instanceID)
		}
	}
	return nil
}

// start creates an instance, in place of an earlier one with the same number. It reports invalid settings as a bug of
// the instance.
func (h *host) start(e wire.Start) {
	delete(h.instances, e.Who)
	settings, err := wire.ParseSettings(e.Settings, e.Seed)
	if err == nil {
		i := &instance{seed: e.Seed}
		i.renumberClasses(&settings)
		if i.Controller, err = control.New(settings, &actions{&h.reply, e.Who}); err == nil {
			h.instances[e.Who] = i
			return
		}
	}
	h.reply.Bug(e.Who, "settings: "+err.Error())
}

// deliver calls the method of the instance's controller for an event.
func (h *host) deliver(c *instance, e wire.Event) {
	switch e := e.(type) {
	case wire.Retune:
		if err := c.updateSettings(h.now, e.Settings); err != nil {
			h.reply.Bug(e.Who, "new settings: "+err.Error())
		}
	case wire.Discovery:
		var list []control.Endpoint
		if e.Form != wire.FormFailed {
			list = h.endpointLists[e.Table]
		}
		c.UpdateEndpoints(h.now, listUpdateKind(e.Form), list)
	case wire.JobIn:
		m := message(e)
		m.Class = c.classNumber(m.Class)
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
		observations, _ := gossip.Decode(e.Blob) // gossip may be lost, so an unreadable message is ignored
		for _, o := range observations {
			c.ReceiveGossip(h.now, control.Observation{Endpoint: control.EndpointID(o.EndpointHash), Kind: o.Kind, Age: o.Age,
				Peer: int(e.From)})
		}
	}
}
