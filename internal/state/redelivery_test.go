package state

import (
	"testing"
	"time"

	"cleathold/control"
)

// TestRedeliveryDenial checks that each condition that prevents a redelivery leads to its own denial. The text of each
// denial is checked, too, because operators read it.
func TestRedeliveryDenial(t *testing.T) {
	addOpen := func(l *Loop, id, key string, class int) *entry {
		m := newMessage(id, class, time.Minute)
		m.Key = key
		e := &entry{Message: m, num: l.table.next}
		l.table.add(e)
		return e
	}
	for _, c := range []struct {
		denial  RedeliveryDenial
		text    string
		prepare func(l *Loop)
	}{
		{RedeliveryAdmitted, "", func(*Loop) {}},
		{DeniedStopping, "the sender stops", func(l *Loop) { l.stopped = true }},
		{DeniedStopping, "the sender stops", func(l *Loop) { l.halted = true }},
		{DeniedDuplicateID, "its id is in use", func(l *Loop) { addOpen(l, "a", "", 0) }},
		{DeniedNoEndpoint, "no target of its destination is listed", func(l *Loop) {
			other := Target{ID: "other", Endpoint: control.Endpoint{Destination: 8, State: control.Ready}}
			l.group.Update(control.ListFull, 2, []Target{other}, l.now)
		}},
		{DeniedManyOpenMessages, "the sender holds much live traffic", func(l *Loop) {
			l.table.open = l.settings.MaxOpenMessages / 2
		}},
		{DeniedManyCalls, "few slots are free", func(l *Loop) { l.callsInFlight = l.settings.MaxInFlight }},
		{DeniedLogFull, "the journal has little room", func(l *Loop) { l.table.liveBytes = l.wal.Limit() }},
		{DeniedKeyOpen, "a message with its key is open", func(l *Loop) { addOpen(l, "b", "key", 1).inFlight = 1 }},
		{DeniedMessagesWaiting, "live messages for its destination wait", func(l *Loop) { addOpen(l, "b", "", 0) }},
		{RedeliveryAdmitted, "", func(l *Loop) { addOpen(l, "b", "", 0).inFlight = 1 }},
		{RedeliveryAdmitted, "", func(l *Loop) { addOpen(l, "b", "", 0).deadLetterSeq = 4 }},
	} {
		l, _ := newTestLoop(t, t.TempDir(), 1e6)
		c.prepare(l)
		e := &entry{Message: newMessage("a", 1, time.Minute), deadLetterSeq: 5}
		e.Key = "key"
		if got := l.redeliveryDenial(e); got != c.denial || string(got) != c.text {
			t.Errorf("denial %q, want %q with the text %q", got, c.denial, c.text)
		}
		l.Close()
	}
}
