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
	num            control.MessageID
	attempts       int
	mayHaveRun     []sentAttempt // forwards that may have run, or may yet
	response       chan<- Response
	decision       *AdmissionDecision // with the verdict
	responded      bool               // its client has heard that it is taken on
	call           *Call              // held back until then
	sendAlone      bool               // goes in a call by itself: a target could not use one that it shared
	report         *DeliveryReport    // ended, and the platform is owed this
	cost           int64              // what it may take in the journal
	classRecord    string             // its class as it stands there
	inFlight       int                // forwards without an end
	remoteInFlight int                // forwards out at another process of this sender; until they are known it waits
	acceptedAt     time.Time
	attempted      bool // a forward of it has left, or was about to

	// Where a keeper is connected.
	deadLetterSeq uint64            // the keeper's record that this sends again; 0 = a client's message
	attemptLog    []numberedAttempt // its history
	unprocessable bool              // a target can't use it
	deadLetter    *DeadLetter       // ended, and the keeper is owed this
	reported      bool              // the platform has its notice
}

// sentAttempt is a forward that left.
type sentAttempt struct {
	attempt      int
	at           time.Time
	zone         int
	endpoint     string // its id, where a keeper is connected
	inDeadLetter bool   // stands in the keeper's record already
}

// firstRun returns the earliest forward that may have run.
func (e *entry) firstRun() (sentAttempt, bool) {
	if len(e.mayHaveRun) == 0 {
		return sentAttempt{}, false
	}
	return slices.MinFunc(e.mayHaveRun, func(a, b sentAttempt) int { return a.at.Compare(b.at) }), true
}

// markNotRun takes a forward that never ran off the record.
func (e *entry) markNotRun(attempt int) {
	e.mayHaveRun = slices.DeleteFunc(e.mayHaveRun, func(s sentAttempt) bool { return s.attempt == attempt })
}

// A table holds the messages that something is still owed for.
type table struct {
	entries         map[control.MessageID]*entry
	byID            map[string]*entry
	next            control.MessageID
	open            int             // not ended
	liveBytes       int64           // journal bytes of all
	deadLetterBytes int64           // of those, the bytes of messages that a keeper does not have yet
	recentIDs       map[string]bool // ids of messages that are over...
	recentExpiry    []recentID      // ...until a time, in the order of it
	classes         *classRegistry
	times           *timeBase // of the journal that it was read from
}

// recentID is an id that is not taken again before a time.
type recentID struct {
	id    string
	until time.Time
}

// recentIDRetention is how long the id of a message that is over stays taken, and
// pastMost how many such ids are kept at most.
const (
	recentIDRetention = 20 * time.Second
	maxRecentIDs      = 4096
)

// idInUse tells whether an id is in use, or was a moment ago.
func (t *table) idInUse(id string, now time.Time) bool {
	for len(t.recentExpiry) > 0 && (len(t.recentExpiry) > maxRecentIDs || !now.Before(t.recentExpiry[0].until)) {
		delete(t.recentIDs, t.recentExpiry[0].id)
		t.recentExpiry = t.recentExpiry[1:]
	}
	return t.byID[id] != nil || t.recentIDs[id]
}

// retainID keeps the id of a message that was taken on and is over.
func (t *table) retainID(id string, now time.Time) {
	if !t.recentIDs[id] {
		t.recentIDs[id] = true
		t.recentExpiry = append(t.recentExpiry, recentID{id, now.Add(recentIDRetention)})
	}
}

func newTable() *table {
	return &table{entries: map[control.MessageID]*entry{}, byID: map[string]*entry{}, recentIDs: map[string]bool{}, next: 1, classes: &classRegistry{}}
}

// add enters a message that is open.
func (t *table) add(e *entry) {
	t.entries[e.num], t.byID[e.ID] = e, e
	t.next = max(t.next, e.num+1)
	e.cost = storageCost(e.Message)
	t.open++
	t.liveBytes += e.cost
}

// markEnded ends a message to which a notice is owed; its body is needed no more,
// if no keeper gets it.
func (t *table) markEnded(e *entry, n DeliveryReport) {
	e.report = &n
	if n.DeadLetter == nil || e.deadLetterSeq > 0 {
		e.Body = nil
	}
	t.liveBytes += storageCost(e.Message) - e.cost
	e.cost = storageCost(e.Message)
	if n.DeadLetter != nil {
		t.deadLetterBytes += e.cost
	}
	t.open--
}

// drop forgets a message: nothing more is owed.
func (t *table) drop(e *entry) {
	if t.entries[e.num] != e {
		return
	}
	delete(t.entries, e.num)
	if t.byID[e.ID] == e {
		delete(t.byID, e.ID)
	}
	t.liveBytes -= e.cost
	if e.report != nil && e.report.DeadLetter != nil {
		t.deadLetterBytes -= e.cost
	}
	if e.report == nil {
		t.open--
	}
}

// idle tells whether nothing is owed to targets and the platform. What a keeper
// is owed the journal keeps for the next start.
func (t *table) idle() bool {
	for _, e := range t.entries {
		if e.report == nil || e.deadLetterSeq == 0 && !e.reported {
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
	byID              map[string]*Target
	byNumber          map[control.EndpointID]*Target
	byHash            map[uint32]control.EndpointID // by the names that notes use
	version           int64
	next              control.EndpointID
	knownDestinations map[int]bool         // destinations that have or had a target
	removedAt         map[string]time.Time // targets off the list, and since when
	excluded          map[string]bool      // ids of targets that operators have taken out
	suspended         bool                 // nothing new goes to any target

	leftAt map[control.EndpointID]time.Time // when those were told that drain or are gone
}

// effective is a target as the controller is to see it: one that is taken out drains, and all do while sends are held back.
func (g *group) effective(t *Target) control.Endpoint {
	e := t.Endpoint
	if (g.suspended || g.excluded[t.ID]) && e.State == control.Ready {
		e.State = control.Draining
	}
	return e
}

// setExcluded takes the set of those that are taken out, and returns the lines of all that change by it.
func (g *group) setExcluded(ids []string) []control.Endpoint {
	old := g.excluded
	g.excluded = make(map[string]bool, len(ids))
	for _, id := range ids {
		g.excluded[id] = true
	}
	var lines []control.Endpoint
	for id, t := range g.byID {
		if _, gone := g.removedAt[id]; !gone && g.excluded[id] != old[id] {
			lines = append(lines, g.effective(t))
		}
	}
	slices.SortFunc(lines, func(a, b control.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return lines
}

// ready tells whether a target is on the list and not about to leave it.
func (g *group) ready(id string) bool {
	t := g.byID[id]
	_, gone := g.removedAt[id]
	return t != nil && !gone && t.State == control.Ready
}

// setSuspended holds sends to all targets back, or lets them go on, and returns the lines of those that change by it.
func (g *group) setSuspended(held bool) (lines []control.Endpoint, changed bool) {
	if g.suspended == held {
		return nil, false
	}
	g.suspended = held
	for id, t := range g.byID {
		if g.ready(id) && !g.excluded[id] {
			lines = append(lines, g.effective(t))
		}
	}
	slices.SortFunc(lines, func(a, b control.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return lines, true
}

// updateLeaving enters targets that drain or are gone, of those that are known, and returns their lines. The version of the
// list stays: there may be more to it.
func (g *group) updateLeaving(departed []Target, now time.Time) []control.Endpoint {
	known := slices.DeleteFunc(slices.Clone(departed), func(t Target) bool { return g.byID[t.ID] == nil })
	if len(known) == 0 {
		return nil
	}
	return g.update(ListUpdate{Kind: control.ListDelta, Version: g.version, Targets: known}, now)
}

// listed are the targets that are on the list, by id.
func (g *group) listed() []ListedTarget {
	list := make([]ListedTarget, 0, len(g.byID))
	for id, t := range g.byID {
		if _, gone := g.removedAt[id]; !gone {
			list = append(list, ListedTarget{ID: id, Dest: t.Destination, Kind: t.Kind, Up: t.State == control.Ready})
		}
	}
	slices.SortFunc(list, func(a, b ListedTarget) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// removedRetention is how long a target that left is known by its number: it may come
// back under its id, and the controller remembers it for a while. Then it is
// forgotten, as new ones may replace old ones all day.
const removedRetention = 2 * time.Minute

func newGroup() *group {
	return &group{byID: map[string]*Target{}, byNumber: map[control.EndpointID]*Target{}, byHash: map[uint32]control.EndpointID{}, knownDestinations: map[int]bool{}, removedAt: map[string]time.Time{}, leftAt: map[control.EndpointID]time.Time{}, next: 1, version: NoVersion}
}

// serves tells whether a destination has or had a target; as long as none is
// known at all, any may have one.
func (g *group) serves(destination int) bool {
	return len(g.knownDestinations) == 0 || g.knownDestinations[destination]
}

// update enters news and returns its lines as the controller wants them. A
// target that leaves keeps its number for a while.
func (g *group) update(n ListUpdate, now time.Time) []control.Endpoint {
	if n.Kind == control.ListFailed {
		return nil
	}
	g.version = n.Version
	if n.Kind != control.ListDelta {
		for id := range g.byID { // those that a whole list leaves out are gone
			g.remove(id, now)
		}
	}
	g.forgetRemoved(now)
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
			g.byID[t.ID], g.byNumber[known.Endpoint.ID] = known, known
			g.byHash[gossip.HashID(t.ID)] = known.Endpoint.ID
			known.Destination = t.Destination
			g.knownDestinations[t.Destination] = true
		}
		if t.State != control.Removed {
			known.Addr = t.Addr
			delete(g.removedAt, t.ID)
		} else {
			g.remove(t.ID, now)
		}
		t.Endpoint.ID, t.Destination = known.Endpoint.ID, known.Destination
		known.Endpoint = t.Endpoint
		g.trackReadiness(known, now)
		lines = append(lines, g.effective(known))
	}
	return lines
}

// remove notes that a target is not listed any more.
func (g *group) remove(id string, now time.Time) {
	if _, before := g.removedAt[id]; !before {
		g.removedAt[id] = now
	}
	if t := g.byID[id]; t != nil {
		g.trackReadiness(t, now)
	}
}

// trackReadiness notes since when a target is not ready.
func (g *group) trackReadiness(t *Target, now time.Time) {
	num := t.Endpoint.ID
	if g.ready(t.ID) {
		delete(g.leftAt, num)
	} else if _, before := g.leftAt[num]; !before {
		g.leftAt[num] = now
	}
}

// forgetRemoved forgets the targets that left long ago.
func (g *group) forgetRemoved(now time.Time) {
	for id, since := range g.removedAt {
		if now.Sub(since) < removedRetention {
			continue
		}
		delete(g.removedAt, id)
		num := g.byID[id].Endpoint.ID
		delete(g.byNumber, num)
		delete(g.leftAt, num)
		if name := gossip.HashID(id); g.byHash[name] == num {
			delete(g.byHash, name)
		}
		delete(g.byID, id)
	}
}
