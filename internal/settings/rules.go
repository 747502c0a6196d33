package settings

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"
)

// Record is what a rule sees of a message.
type Record struct {
	ID, Key, Class, Tenant string
	Destination            int
	Size                   int    // bytes of the body
	Reason                 string // why it ended
	MayHaveRun             bool
	Deferred               bool // without the store it would be handed back to its client
	Attempts               int
	Resends                int           // times it was sent again from the store
	TimeLeft               time.Duration // of its time, as it ended
	Age                    time.Duration // since it was held
}

// Partner is what a rule sees of a message's destination, as this sender knows it.
type Partner struct {
	Held       int           // records held for it
	InFlight   int           // resends out
	Last       string        // the latest result of any call: "" before the first
	Failing    time.Duration // since the first of the calls in a row that were not served; 0 = the last one was
	Served     time.Duration // since a call was served; below 0 = never
	RetryAfter time.Duration // of a wait that it told
}

// attributes are the fields that a script may name.
var attributes = map[string]bool{
	"id": true, "key": true, "message_class": true, "tenant": true, "destination": true, "size": true, "reason": true,
	"may_have_run": true, "deferred": true, "attempts": true, "resends": true, "left": true, "age": true,
	"held": true, "out": true, "last": true, "failing": true, "served": true, "wait_left": true,
}

// A fields is a value with fields that no script can change.
type fields struct {
	kind string
	get  func(name string) starlark.Value
	all  []string
}

func (f *fields) String() string        { return f.kind }
func (f *fields) Type() string          { return f.kind }
func (f *fields) Freeze()               {}
func (f *fields) Truth() starlark.Bool  { return true }
func (f *fields) Hash() (uint32, error) { return 0, fmt.Errorf("unhashable: %s", f.kind) }
func (f *fields) AttrNames() []string   { return f.all }
func (f *fields) Attr(name string) (starlark.Value, error) {
	return f.get(name), nil // nil: no such field, which the interpreter says with its place
}

func seconds(d time.Duration) starlark.Value { return starlark.Float(d.Seconds()) }

func (r *Record) value() starlark.Value {
	return &fields{kind: "record", get: func(name string) starlark.Value {
		switch name {
		case "id":
			return starlark.String(r.ID)
		case "key":
			return starlark.String(r.Key)
		case "message_class":
			return starlark.String(r.Class)
		case "tenant":
			return starlark.String(r.Tenant)
		case "destination":
			return starlark.MakeInt(r.Destination)
		case "size":
			return starlark.MakeInt(r.Size)
		case "reason":
			return starlark.String(r.Reason)
		case "may_have_run":
			return starlark.Bool(r.MayHaveRun)
		case "deferred":
			return starlark.Bool(r.Deferred)
		case "attempts":
			return starlark.MakeInt(r.Attempts)
		case "resends":
			return starlark.MakeInt(r.Resends)
		case "left":
			return seconds(r.TimeLeft)
		case "age":
			return seconds(r.Age)
		}
		return nil
	}}
}

func (p *Partner) value() starlark.Value {
	return &fields{kind: "partner", get: func(name string) starlark.Value {
		switch name {
		case "held":
			return starlark.MakeInt(p.Held)
		case "out":
			return starlark.MakeInt(p.InFlight)
		case "last":
			return starlark.String(p.Last)
		case "failing":
			return seconds(p.Failing)
		case "served":
			return seconds(p.Served)
		case "wait_left":
			return seconds(p.RetryAfter)
		}
		return nil
	}}
}

// Action is a verdict's word.
type Action uint8

// The answers of the rule after.
const (
	KeepRecord Action = iota
	Redeliver
	DropRecord
)

// Decision is what the rule after answers.
type Decision struct {
	Action   Action
	ReviewIn time.Duration // Keep: asked again after this; 0 = not before something changes
	Delay    time.Duration // Again: not before this
	Within   time.Duration // Again: and given up for good after this
}

// A verdict is an answer of a rule as a value of the language.
type verdict struct {
	word  string
	after Decision
}

func (v verdict) String() string        { return v.word }
func (v verdict) Type() string          { return "verdict" }
func (v verdict) Freeze()               {}
func (v verdict) Truth() starlark.Bool  { return true }
func (v verdict) Hash() (uint32, error) { return 0, fmt.Errorf("unhashable: verdict") }

func keep(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	seconds := number(0)
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "seconds?", &seconds); err != nil {
		return nil, err
	}
	v := verdict{word: "keep", after: Decision{Action: KeepRecord}}
	if seconds == 0 {
		return v, nil
	}
	var err error
	v.after.ReviewIn, err = span("keep: seconds", seconds)
	return v, err
}

func drop(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	err := starlark.UnpackArgs(b.Name(), args, kwargs)
	return verdict{word: "drop", after: Decision{Action: DropRecord}}, err
}

func again(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	within, delay := number(0), number(0)
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "within?", &within, "delay?", &delay); err != nil {
		return nil, err
	}
	v := verdict{word: "again", after: Decision{Action: Redeliver}}
	var err error
	if within != 0 {
		if v.after.Within, err = span("again: within", within); err != nil {
			return nil, err
		}
	}
	if delay != 0 {
		v.after.Delay, err = span("again: delay", delay)
	}
	return v, err
}

// Hold asks the rule hold who gets a message that ends undelivered: the store
// (true) or its client. Without the rule the store gets what would end as
// undeliverable, and the client what it may hand in anew. The same holds where
// the rule fails: then the error says why.
func (s *Settings) Hold(r Record, p Partner) (bool, error) {
	if s.hold == nil {
		return !r.Deferred, nil
	}
	v, err := s.call(s.hold, &r, &p)
	if err != nil {
		return !r.Deferred, err
	}
	if b, ok := v.(starlark.Bool); ok {
		return bool(b), nil
	}
	if w, ok := v.(verdict); ok && (w.word == "HOLD" || w.word == "GIVE_BACK") {
		return w.word == "HOLD", nil
	}
	return !r.Deferred, &Error{File: s.Path, Text: fmt.Sprintf("hold answered %s, wanted HOLD or GIVE_BACK", v.Type())}
}

// Decide asks the rule after what becomes of a held record. Where the rule is
// missing, or fails, the record is kept.
func (s *Settings) Decide(r Record, p Partner) (Decision, error) {
	if s.after == nil {
		return Decision{}, nil
	}
	v, err := s.call(s.after, &r, &p)
	if err != nil {
		return Decision{}, err
	}
	w, ok := v.(verdict)
	if !ok || w.word == "HOLD" || w.word == "GIVE_BACK" {
		return Decision{}, &Error{File: s.Path, Text: fmt.Sprintf("after answered %s, wanted keep(), again() or drop()", v.Type())}
	}
	if w.after.Action == Redeliver && w.after.Within == 0 {
		w.after.Within = s.Resend.Within
	}
	return w.after, nil
}

// Rules tells whether the script has a rule after.
func (s *Settings) Rules() bool { return s.after != nil }

func (s *Settings) call(rule starlark.Callable, r *Record, p *Partner) (starlark.Value, error) {
	v, err := starlark.Call(thread("rule", ruleSteps), rule, starlark.Tuple{r.value(), p.value()}, nil)
	if err != nil {
		return nil, locate(s.Path, err)
	}
	return v, nil
}
