package state

import (
	"testing"
	"time"

	"cleathold/control"
)

// A message keeps its class over a restart with other settings: of the same name and stricter, in another order, or
// gone. Numbers of classes that hold are those of the settings.
func TestClassOutlastsSettings(t *testing.T) {
	named := func(name string, e control.Idempotency) NamedClass {
		return NamedClass{Name: name, Class: control.Class{LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1, LateWeight: 0.25, Idempotency: e, KeyRetention: 12 * time.Second, KeyZoneScoped: e == control.IdempotentByKey}}
	}
	book := func(list ...NamedClass) *classRegistry {
		b := &classRegistry{}
		for _, c := range list {
			b.numberOf(c)
		}
		return b
	}
	safe, keyed := named("status", control.Idempotent), named("print-order", control.IdempotentByKey)
	for _, c := range []struct {
		name  string
		after *classRegistry
		want  int
	}{
		{"the same", book(safe, keyed), 1},
		{"another order", book(keyed, safe), 0},
		{"stricter", book(safe, named("print-order", control.NotIdempotent)), 2},
		{"gone", book(safe), 1},
		{"another name", book(safe, named("order", control.IdempotentByKey)), 2},
	} {
		dir := t.TempDir()
		j, table, err := openLog(Setup{Dir: dir, DiskBytes: 1e6, Log: discardLog}, book(safe, keyed))
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
		j, table, err = openLog(Setup{Dir: dir, DiskBytes: 1e6, Log: discardLog}, c.after)
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

// New settings under way: the loop numbers their classes, a message under way keeps its own, the bound on classes
// turns down what would pass it, and what the controller won't have changes nothing.
func TestRetuneLoop(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	start(t, l)
	tune := func(classes []NamedClass, change func(*control.Settings)) SettingsResult {
		set := l.settings
		change(&set)
		done := make(chan SettingsResult, 1)
		l.Post(UpdateSettings{Settings: set, Classes: classes, Done: done})
		return receive(t, done)
	}
	receive(t, submit(l, "a", 10))
	l.Post(ResponseWritten{ID: "a", OK: true})
	c := receive(t, o.calls)
	strict := NamedClass{Name: "status", Class: control.Class{LatencyObjective: time.Second, Deadline: time.Minute, PriorityWeight: 1, Idempotency: control.NotIdempotent}}
	r := tune([]NamedClass{strict}, func(*control.Settings) {})
	if r.Err != nil || r.Numbers["status"] != 3 && r.Numbers["status"] != 2 {
		t.Fatalf("%+v", r)
	}
	if n := r.Numbers["status"]; r.Classes[n].Idempotency != control.NotIdempotent || r.Classes[0].Idempotency != control.Idempotent {
		t.Fatalf("%+v", r)
	}
	// It was safe when it came: broken off, it goes again.
	l.Post(CallEnded{c, []AttemptResult{{Attempt: c.Attempts[0], Result: control.ConnectionLost}}})
	if again := receive(t, o.calls); again.Attempts[0].Message.ID != "a" {
		t.Errorf("%+v", again.Attempts[0].Message)
	}
	many := make([]NamedClass, maxClasses)
	for i := range many {
		many[i] = strict
		many[i].LatencyObjective = time.Duration(i)
	}
	if r := tune(many, func(*control.Settings) {}); r.Err == nil {
		t.Error("classes without bound")
	}
	if r := tune([]NamedClass{strict}, func(s *control.Settings) { s.MaxInFlight = 0 }); r.Err == nil {
		t.Error("settings that make no sense are taken")
	}
}
