package state

import (
	"errors"
	"testing"
	"time"

	"cleathold/control"
)

// TestClassOutlastsSettings checks that a message keeps its class over a restart with other settings, in which the
// class is stricter, in another position or missing. The classes of the new settings are numbered in the order of these
// settings.
func TestClassOutlastsSettings(t *testing.T) {
	named := func(name string, e control.Idempotency) NamedClass {
		c := testClass(e)
		c.LateWeight, c.KeyRetention, c.KeyZoneScoped = 0.25, 12*time.Second, e == control.IdempotentByKey
		return NamedClass{Name: name, Class: c}
	}
	newRegistryOf := func(list ...NamedClass) *classRegistry {
		b := &classRegistry{}
		for _, c := range list {
			b.numberOf(c)
		}
		return b
	}
	safe, keyed := named("status", control.Idempotent), named("print-order", control.IdempotentByKey)
	for _, c := range []struct {
		name        string
		newRegistry *classRegistry
		want        int
	}{
		{"the same", newRegistryOf(safe, keyed), 1},
		{"another order", newRegistryOf(keyed, safe), 0},
		{"stricter", newRegistryOf(safe, named("print-order", control.NotIdempotent)), 2},
		{"gone", newRegistryOf(safe), 1},
		{"another name", newRegistryOf(safe, named("order", control.IdempotentByKey)), 2},
	} {
		dir := t.TempDir()
		j, table, err := openLog(Setup{Dir: dir, MaxDiskBytes: 1e6, Log: discardLog}, newRegistryOf(safe, keyed))
		if err != nil {
			t.Fatal(err)
		}
		m := &Message{ID: "a", Key: "k", Class: 1, Deadline: time.Now().Add(time.Minute), Body: []byte("body")}
		e := &entry{Message: m, num: table.next, classRecord: table.classes.record(1)}
		table.add(e)
		logAccepted(j, e)
		if err := j.Flush(); err != nil {
			t.Fatal(err)
		}
		j.Close()
		j, table, err = openLog(Setup{Dir: dir, MaxDiskBytes: 1e6, Log: discardLog}, c.newRegistry)
		if err != nil {
			t.Fatal(err)
		}
		got := table.ordered()
		if len(got) != 1 || got[0].Class != c.want || table.classes.list[c.want] != keyed || string(got[0].Body) != "body" {
			t.Errorf("%s: %d messages, class %d, want %d", c.name, len(got), got[0].Class, c.want)
		}
		j.Close()
	}
}

// TestUpdateSettings checks that with new settings, the loop assigns numbers to their classes and an accepted message
// keeps its own class. Settings that exceed the limit on classes or that the controller rejects change nothing.
func TestUpdateSettings(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	update := func(classes []NamedClass, change func(*control.Settings)) SettingsResult {
		settings := l.settings
		change(&settings)
		done := make(chan SettingsResult, 1)
		l.Post(UpdateSettings{Settings: settings, Classes: classes, Done: done})
		return receive(t, done)
	}
	receive(t, submit(l, "a", 10))
	l.Post(ResponseWritten{ID: "a", OK: true})
	c := receive(t, o.calls)
	strict := NamedClass{Name: "status", Class: testClass(control.NotIdempotent)}
	r := update([]NamedClass{strict}, func(*control.Settings) {})
	if r.Err != nil || r.Numbers["status"] != 3 && r.Numbers["status"] != 2 {
		t.Fatalf("%+v", r)
	}
	strictClass := r.Classes[r.Numbers["status"]]
	if strictClass.Idempotency != control.NotIdempotent || r.Classes[0].Idempotency != control.Idempotent {
		t.Fatalf("%+v", r)
	}
	// The message was idempotent when it was accepted, so it is sent again after its connection was lost.
	l.Post(endedWith(c, AttemptResult{Result: control.ConnectionLost}))
	if retry := receive(t, o.calls); retry.Attempts[0].Message.ID != "a" {
		t.Errorf("%+v", retry.Attempts[0].Message)
	}
	many := make([]NamedClass, maxClasses)
	for i := range many {
		many[i] = strict
		many[i].LatencyObjective = time.Duration(i)
	}
	if r := update(many, func(*control.Settings) {}); !errors.Is(r.Err, ErrTooManyClasses) {
		t.Error("more classes than maxClasses were accepted")
	}
	if r := update([]NamedClass{strict}, func(s *control.Settings) { s.MaxInFlight = 0 }); r.Err == nil {
		t.Error("invalid settings were accepted")
	}
}
