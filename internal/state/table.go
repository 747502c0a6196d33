package state

import (
	"cmp"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
)

// An entry is one message of the table, until its end is known to whoever is owed it.
type entry struct {
	*Message
	num      control.MessageID
	sends    int
	ran      []sent // forwards that may have run, or may yet
	verdict  chan<- Response
	decision *AdmissionDecision // with the verdict
	answered bool               // its client has heard that it is taken on
	call     *Call              // held back until then
	alone    bool               // goes in a call by itself: a target could not use one that it shared
	notice   *DeliveryReport    // ended, and the platform is owed this
	cost     int64              // what it may take in the journal
	class    string             // its class as it stands there
	flights  int                // forwards without an end
	abroad   int                // forwards out at another process of this sender; until they are known it waits
	at       time.Time
	called   bool // a forward of it has left, or was about to

	// Where a keeper is connected.
	seq      uint64        // the keeper's record that this sends again; 0 = a client's message
	tries    []numberedTry // its history
	rejected bool          // a target can't use it
	parting  *DeadLetter   // ended, and the keeper is owed this
	told     bool          // the platform has its notice
}

// sent is a forward that left.
type sent struct {
	attempt int
	at      time.Time
	zone    int
	target  string // its id, where a keeper is connected
	told    bool   // stands in the keeper's record already
}

// first returns the earliest forward that may have run.
func (e *entry) first() (sent, bool) {
	if len(e.ran) == 0 {
		return sent{}, false
	}
	return slices.MinFunc(e.ran, func(a, b sent) int { return a.at.Compare(b.at) }), true
}

// spare takes a forward that never ran off the record.
func (e *entry) spare(attempt int) {
	e.ran = slices.DeleteFunc(e.ran, func(s sent) bool { return s.attempt == attempt })
}

// A table holds the messages that something is still owed for.
type table struct {
	entries map[control.MessageID]*entry
	ids     map[string]*entry
	next    control.MessageID
	open    int             // not ended
	live    int64           // journal bytes of all
	kept    int64           // of those, the bytes of messages that a keeper does not have yet
	past    map[string]bool // ids of messages that are over...
	expiry  []pastID        // ...until a time, in the order of it
	classes *classBook
	base    *timebase // of the journal that it was read from
}

// pastID is an id that is not taken again before a time.
type pastID struct {
	id    string
	until time.Time
}

// pastSpan is how long the id of a message that is over stays taken, and
// pastMost how many such ids are kept at most.
const (
	pastSpan = 20 * time.Second
	pastMost = 4096
)

// taken tells whether an id is in use, or was a moment ago.
func (t *table) taken(id string, now time.Time) bool {
	for len(t.expiry) > 0 && (len(t.expiry) > pastMost || !now.Before(t.expiry[0].until)) {
		delete(t.past, t.expiry[0].id)
		t.expiry = t.expiry[1:]
	}
	return t.ids[id] != nil || t.past[id]
}

// retire keeps the id of a message that was taken on and is over.
func (t *table) retire(id string, now time.Time) {
	if !t.past[id] {
		t.past[id] = true
		t.expiry = append(t.expiry, pastID{id, now.Add(pastSpan)})
	}
}

func newTable() *table {
	return &table{entries: map[control.MessageID]*entry{}, ids: map[string]*entry{}, past: map[string]bool{}, next: 1, classes: &classBook{}}
}

// add enters a message that is open.
func (t *table) add(e *entry) {
	t.entries[e.num], t.ids[e.ID] = e, e
	t.next = max(t.next, e.num+1)
	e.cost = takeCost(e.Message)
	t.open++
	t.live += e.cost
}

// settle ends a message to which a notice is owed; its body is needed no more,
// if no keeper gets it.
func (t *table) settle(e *entry, n DeliveryReport) {
	e.notice = &n
	if n.DeadLetter == nil || e.seq > 0 {
		e.Body = nil
	}
	t.live += takeCost(e.Message) - e.cost
	e.cost = takeCost(e.Message)
	if n.DeadLetter != nil {
		t.kept += e.cost
	}
	t.open--
}

// drop forgets a message: nothing more is owed.
func (t *table) drop(e *entry) {
	if t.entries[e.num] != e {
		return
	}
	delete(t.entries, e.num)
	if t.ids[e.ID] == e {
		delete(t.ids, e.ID)
	}
	t.live -= e.cost
	if e.notice != nil && e.notice.DeadLetter != nil {
		t.kept -= e.cost
	}
	if e.notice == nil {
		t.open--
	}
}

// idle tells whether nothing is owed to targets and the platform. What a keeper
// is owed the journal keeps for the next start.
func (t *table) idle() bool {
	for _, e := range t.entries {
		if e.notice == nil || e.seq == 0 && !e.told {
			return false
		}
	}
	return true
}

// ordered returns the entries in the order of their numbers.
func (t *table) ordered() []*entry {
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return int(a.num) - int(b.num) })
	return list
}

// A group is the target group: what discovery has told, numbered for the controller.
type group struct {
	byID    map[string]*Target
	byNum   map[control.EndpointID]*Target
	names   map[uint32]control.EndpointID // by the names that notes use
	version int64
	next    control.EndpointID
	served  map[int]bool         // destinations that have or had a target
	left    map[string]time.Time // targets off the list, and since when
	aside   map[string]bool      // ids of targets that operators have taken out
	held    bool                 // nothing new goes to any target

	toldLeft map[control.EndpointID]time.Time // when those were told that drain or are gone
}

// shown is a target as the controller is to see it: one that is taken out drains, and all do while sends are held back.
func (g *group) shown(t *Target) control.Endpoint {
	e := t.Endpoint
	if (g.held || g.aside[t.ID]) && e.State == control.Ready {
		e.State = control.Draining
	}
	return e
}

// setAside takes the set of those that are taken out, and returns the lines of all that change by it.
func (g *group) setAside(ids []string) []control.Endpoint {
	old := g.aside
	g.aside = make(map[string]bool, len(ids))
	for _, id := range ids {
		g.aside[id] = true
	}
	var lines []control.Endpoint
	for id, t := range g.byID {
		if _, gone := g.left[id]; !gone && g.aside[id] != old[id] {
			lines = append(lines, g.shown(t))
		}
	}
	slices.SortFunc(lines, func(a, b control.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return lines
}

// ready tells whether a target is on the list and not about to leave it.
func (g *group) ready(id string) bool {
	t := g.byID[id]
	_, gone := g.left[id]
	return t != nil && !gone && t.State == control.Ready
}

// hold holds sends to all targets back, or lets them go on, and returns the lines of those that change by it.
func (g *group) hold(held bool) (lines []control.Endpoint, changed bool) {
	if g.held == held {
		return nil, false
	}
	g.held = held
	for id, t := range g.byID {
		if g.ready(id) && !g.aside[id] {
			lines = append(lines, g.shown(t))
		}
	}
	slices.SortFunc(lines, func(a, b control.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return lines, true
}

// takeLeaving enters targets that drain or are gone, of those that are known, and returns their lines. The version of the
// list stays: there may be more to it.
func (g *group) takeLeaving(leaving []Target, now time.Time) []control.Endpoint {
	known := slices.DeleteFunc(slices.Clone(leaving), func(t Target) bool { return g.byID[t.ID] == nil })
	if len(known) == 0 {
		return nil
	}
	return g.take(ListUpdate{Kind: control.ListDelta, Version: g.version, Targets: known}, now)
}

// listed are the targets that are on the list, by id.
func (g *group) listed() []ListedTarget {
	list := make([]ListedTarget, 0, len(g.byID))
	for id, t := range g.byID {
		if _, gone := g.left[id]; !gone {
			list = append(list, ListedTarget{ID: id, Dest: t.Destination, Kind: t.Kind, Up: t.State == control.Ready})
		}
	}
	slices.SortFunc(list, func(a, b ListedTarget) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// goneSpan is how long a target that left is known by its number: it may come
// back under its id, and the controller remembers it for a while. Then it is
// forgotten, as new ones may replace old ones all day.
const goneSpan = 2 * time.Minute

func newGroup() *group {
	return &group{byID: map[string]*Target{}, byNum: map[control.EndpointID]*Target{}, names: map[uint32]control.EndpointID{}, served: map[int]bool{}, left: map[string]time.Time{}, toldLeft: map[control.EndpointID]time.Time{}, next: 1, version: NoVersion}
}

// serves tells whether a destination has or had a target; as long as none is
// known at all, any may have one.
func (g *group) serves(destination int) bool {
	return len(g.served) == 0 || g.served[destination]
}

// take enters news and returns its lines as the controller wants them. A
// target that leaves keeps its number for a while.
func (g *group) take(n ListUpdate, now time.Time) []control.Endpoint {
	if n.Kind == control.ListFailed {
		return nil
	}
	g.version = n.Version
	if n.Kind != control.ListDelta {
		for id := range g.byID { // those that a whole list leaves out are gone
			g.leave(id, now)
		}
	}
	g.prune(now)
	lines := make([]control.Endpoint, 0, len(n.Targets))
	for _, t := range n.Targets {
		known := g.byID[t.ID]
		if known == nil {
			if t.State == control.Removed {
				continue
			}
			known = &Target{ID: t.ID}
			known.Endpoint.ID = g.next
			g.next++
			g.byID[t.ID], g.byNum[known.Endpoint.ID] = known, known
			g.names[gossip.HashID(t.ID)] = known.Endpoint.ID
			known.Destination = t.Destination
			g.served[t.Destination] = true
		}
		if t.State != control.Removed {
			known.Addr = t.Addr
			delete(g.left, t.ID)
		} else {
			g.leave(t.ID, now)
		}
		t.Endpoint.ID, t.Destination = known.Endpoint.ID, known.Destination
		known.Endpoint = t.Endpoint
		g.noteState(known, now)
		lines = append(lines, g.shown(known))
	}
	return lines
}

// leave notes that a target is not listed any more.
func (g *group) leave(id string, now time.Time) {
	if _, before := g.left[id]; !before {
		g.left[id] = now
	}
	if t := g.byID[id]; t != nil {
		g.noteState(t, now)
	}
}

// noteState notes since when a target is not ready.
func (g *group) noteState(t *Target, now time.Time) {
	num := t.Endpoint.ID
	if g.ready(t.ID) {
		delete(g.toldLeft, num)
	} else if _, before := g.toldLeft[num]; !before {
		g.toldLeft[num] = now
	}
}

// prune forgets the targets that left long ago.
func (g *group) prune(now time.Time) {
	for id, since := range g.left {
		if now.Sub(since) < goneSpan {
			continue
		}
		delete(g.left, id)
		num := g.byID[id].Endpoint.ID
		delete(g.byNum, num)
		delete(g.toldLeft, num)
		if name := gossip.HashID(id); g.names[name] == num {
			delete(g.names, name)
		}
		delete(g.byID, id)
	}
}
