package state

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/wal"
)

const (
	// recentIDRetention is how long the ID of a message that has ended can't be used again.
	recentIDRetention = 20 * time.Second
	// maxRecentIDs is the maximum number of such IDs.
	maxRecentIDs = 4096
)

// table holds the messages for which something is still owed.
type table struct {
	entries         map[control.MessageID]*entry
	byID            map[string]*entry
	next            control.MessageID
	open            int             // messages that have not ended
	liveBytes       int64           // maximum size of all messages in the log
	deadLetterBytes int64           // part of liveBytes: messages that the dead-letter queue has not stored yet
	recentIDs       map[string]bool // IDs of messages that have ended recently
	recentExpiry    []recentID      // the same IDs in the order of their expiry
	classes         *classRegistry
	guard           *reportGuard // holds the accepted messages that have not ended
}

// recentID is an ID that is not accepted again before a time.
type recentID struct {
	id    string
	until time.Time
}

func newTable(classes *classRegistry) *table {
	return &table{
		entries: map[control.MessageID]*entry{}, byID: map[string]*entry{}, recentIDs: map[string]bool{},
		next: 1, classes: classes, guard: newReportGuard(),
	}
}

// restore adds the messages recovered from the log.
func (t *table) restore(recovered wal.RestoredState) {
	for _, x := range recovered.Entries {
		if x.RecordedClass != nil {
			x.Class = t.classes.numberOf(*x.RecordedClass)
		}
		m := &Message{
			ID: x.ID, Key: x.Key, Class: x.Class, Tenant: x.Tenant, Destination: x.Destination, Deadline: x.Deadline,
			Resubmitted: x.Resubmitted, Body: x.Body,
		}
		e := &entry{
			Message: m, num: x.Number, responded: true, deadLetterSeq: x.DeadLetterSeq, classRecord: t.classes.record(m.Class),
			attempts: x.Attempts, mayHaveRun: x.UncertainAttempts,
		}
		t.add(e)
		t.guard.add(e)
		if x.Outcome != nil {
			r := reportOf(x)
			e.deadLetter = r.DeadLetter
			t.markEnded(e, r)
		}
	}
	t.next = max(t.next, recovered.NextNumber)
}

// idInUse reports whether an ID is in use, or was in use recently.
func (t *table) idInUse(id string, now time.Time) bool {
	for len(t.recentExpiry) > 0 && (len(t.recentExpiry) > maxRecentIDs || !now.Before(t.recentExpiry[0].until)) {
		delete(t.recentIDs, t.recentExpiry[0].id)
		t.recentExpiry = t.recentExpiry[1:]
	}
	return t.byID[id] != nil || t.recentIDs[id]
}

// retainID keeps the ID of an accepted message that has ended in use for a while.
func (t *table) retainID(id string, now time.Time) {
	if !t.recentIDs[id] {
		t.recentIDs[id] = true
		t.recentExpiry = append(t.recentExpiry, recentID{id, now.Add(recentIDRetention)})
	}
}

// add adds an open message.
func (t *table) add(e *entry) {
	t.entries[e.num], t.byID[e.ID] = e, e
	t.next = max(t.next, e.num+1)
	e.cost = storageCost(e.Message)
	t.open++
	t.liveBytes += e.cost
}

// markEnded marks a message as ended with a report. Its body is dropped, unless the dead-letter queue still needs it.
func (t *table) markEnded(e *entry, r DeliveryReport) {
	e.report = &r
	t.guard.remove(e)
	if r.DeadLetter == nil || e.deadLetterSeq > 0 {
		e.Body = nil
	}
	t.liveBytes += storageCost(e.Message) - e.cost
	e.cost = storageCost(e.Message)
	if r.DeadLetter != nil {
		t.deadLetterBytes += e.cost
	}
	t.open--
}

// drop removes a message for which nothing more is owed.
func (t *table) drop(e *entry) {
	if t.entries[e.num] != e {
		return
	}
	delete(t.entries, e.num)
	t.guard.remove(e)
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

// idle reports whether nothing more is owed to endpoints and the platform. Messages owed to the dead-letter queue do
// not count: the log keeps them for the next start.
func (t *table) idle() bool {
	for _, e := range t.entries {
		if e.report == nil || e.deadLetterSeq == 0 && !e.reported {
			return false
		}
	}
	return true
}

// ordered returns the entries in ascending order of their numbers.
func (t *table) ordered() []*entry { return slices.SortedFunc(maps.Values(t.entries), byMessageNumber) }

func byMessageNumber(a, b *entry) int { return cmp.Compare(a.num, b.num) }

// storageCost returns the maximum size of a message in the log, in bytes.
func storageCost(m *Message) int64 { return wal.Cost(m.ID, m.Key, m.Body) }
