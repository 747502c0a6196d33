package settings

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"
)

// Record is what a rule sees of an undeliverable message.
type Record struct {
	ID, Key, Class, Tenant string
	Destination            int
	Size                   int    // bytes of the body
	Reason                 string // why it was not delivered
	MayHaveRun             bool
	Deferred               bool // without the dead-letter queue its client would be told to come again
	Attempts               int
	Resends                int           // redeliveries before
	TimeLeft               time.Duration // to its deadline, when it ended
	Age                    time.Duration // since it became a dead letter
}

// Partner is what a rule sees of a message's destination, as this sender knows it.
type Partner struct {
	Held       int           // dead letters for it
	InFlight   int           // redeliveries in flight
	Last       string        // the latest result of any call: "" before the first
	Failing    time.Duration // since the first of the consecutive failed calls; 0: the last call was served
	Served     time.Duration // since the last served call; below 0: there was none
	RetryAfter time.Duration // time left of a Retry-After that it sent
}

// attributes are the fields of records and partners, which are all that a script may name.
var attributes = func() map[string]bool {
	names := map[string]bool{}
	for name := range recordFields {
		names[name] = true
	}
	for name := range partnerFields {
		names[name] = true
	}
	return names
}()

// recordFields are the fields of a record by the names that scripts use.
var recordFields = map[string]func(*Record) starlark.Value{
	"id":            func(r *Record) starlark.Value { return starlark.String(r.ID) },
	"key":           func(r *Record) starlark.Value { return starlark.String(r.Key) },
	"message_class": func(r *Record) starlark.Value { return starlark.String(r.Class) },
	"tenant":        func(r *Record) starlark.Value { return starlark.String(r.Tenant) },
	"destination":   func(r *Record) starlark.Value { return starlark.MakeInt(r.Destination) },
	"size":          func(r *Record) starlark.Value { return starlark.MakeInt(r.Size) },
	"reason":        func(r *Record) starlark.Value { return starlark.String(r.Reason) },
	"may_have_run":  func(r *Record) starlark.Value { return starlark.Bool(r.MayHaveRun) },
	"deferred":      func(r *Record) starlark.Value { return starlark.Bool(r.Deferred) },
	"attempts":      func(r *Record) starlark.Value { return starlark.MakeInt(r.Attempts) },
	"resends":       func(r *Record) starlark.Value { return starlark.MakeInt(r.Resends) },
	"left":          func(r *Record) starlark.Value { return seconds(r.TimeLeft) },
	"age":           func(r *Record) starlark.Value { return seconds(r.Age) },
}

// partnerFields are the fields of a partner by the names that scripts use.
var partnerFields = map[string]func(*Partner) starlark.Value{
	"held":      func(p *Partner) starlark.Value { return starlark.MakeInt(p.Held) },
	"out":       func(p *Partner) starlark.Value { return starlark.MakeInt(p.InFlight) },
	"last":      func(p *Partner) starlark.Value { return starlark.String(p.Last) },
	"failing":   func(p *Partner) starlark.Value { return seconds(p.Failing) },
	"served":    func(p *Partner) starlark.Value { return seconds(p.Served) },
	"wait_left": func(p *Partner) starlark.Value { return seconds(p.RetryAfter) },
}

// object is a Starlark value with fields that no script can change.
type object[T any] struct {
	kind   string
	value  *T
	fields map[string]func(*T) starlark.Value
}

func (o *object[T]) String() string        { return o.kind }
func (o *object[T]) Type() string          { return o.kind }
func (o *object[T]) Freeze()               {}
func (o *object[T]) Truth() starlark.Bool  { return true }
func (o *object[T]) Hash() (uint32, error) { return 0, fmt.Errorf("unhashable: %s", o.kind) }
func (o *object[T]) AttrNames() []string   { return nil }

// Attr returns a field, or nil for an unknown one, which the interpreter reports with its place.
func (o *object[T]) Attr(name string) (starlark.Value, error) {
	if get, known := o.fields[name]; known {
		return get(o.value), nil
	}
	return nil, nil
}

func seconds(d time.Duration) starlark.Value { return starlark.Float(d.Seconds()) }

func (r *Record) value() starlark.Value {
	return &object[Record]{kind: "record", value: r, fields: recordFields}
}

func (p *Partner) value() starlark.Value {
	return &object[Partner]{kind: "partner", value: p, fields: partnerFields}
}

// Action says what becomes of a dead letter.
type Action uint8

// The actions that the rule after can choose.
const (
	KeepRecord Action = iota
	Redeliver
	DropRecord
)

// Decision is the answer of the rule after.
type Decision struct {
	Action   Action
	ReviewIn time.Duration // KeepRecord: the rule is asked again after this; 0: once something changes
	Delay    time.Duration // Redeliver: not before this
	Within   time.Duration // Redeliver: abandoned for good after this
}

// ruleResult is the result of a rule as a Starlark value.
type ruleResult struct {
	name     string
	decision Decision // of keep, drop and again
}

// The names of the answers of the rule hold.
const (
	holdResult     = "HOLD"
	giveBackResult = "GIVE_BACK"
)

// isHoldResult reports whether the answer is one of the rule hold.
func (a ruleResult) isHoldResult() bool { return a.name == holdResult || a.name == giveBackResult }

func (a ruleResult) String() string        { return a.name }
func (a ruleResult) Type() string          { return "verdict" }
func (a ruleResult) Freeze()               {}
func (a ruleResult) Truth() starlark.Bool  { return true }
func (a ruleResult) Hash() (uint32, error) { return 0, fmt.Errorf("unhashable: %s", a.Type()) }

// keepBuiltin is keep(seconds): the record stays.
func keepBuiltin(
	_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	seconds := number(0)
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "seconds?", &seconds); err != nil {
		return nil, err
	}
	v := ruleResult{name: "keep", decision: Decision{Action: KeepRecord}}
	if seconds == 0 {
		return v, nil
	}
	var err error
	v.decision.ReviewIn, err = duration("keep: seconds", seconds)
	return v, err
}

// dropBuiltin is drop(): the record is dropped.
func dropBuiltin(
	_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	err := starlark.UnpackArgs(b.Name(), args, kwargs)
	return ruleResult{name: "drop", decision: Decision{Action: DropRecord}}, err
}

// againBuiltin is again(within, delay): the record is redelivered.
func againBuiltin(
	_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	within, delay := number(0), number(0)
	if err := starlark.UnpackArgs(b.Name(), args, kwargs, "within?", &within, "delay?", &delay); err != nil {
		return nil, err
	}
	v := ruleResult{name: "again", decision: Decision{Action: Redeliver}}
	var err error
	if within != 0 {
		if v.decision.Within, err = duration("again: within", within); err != nil {
			return nil, err
		}
	}
	if delay != 0 {
		v.decision.Delay, err = duration("again: delay", delay)
	}
	return v, err
}

// Hold asks the rule hold whether an undeliverable message becomes a dead letter (true) or goes back to its client.
// Without the rule, and where the rule fails with an error, a message becomes a dead letter unless it would be
// deferred.
func (s *Settings) Hold(r Record, p Partner) (bool, error) {
	if s.holdRule == nil {
		return !r.Deferred, nil
	}
	v, err := s.call(s.holdRule, &r, &p)
	if err != nil {
		return !r.Deferred, err
	}
	if b, ok := v.(starlark.Bool); ok {
		return bool(b), nil
	}
	if a, ok := v.(ruleResult); ok && a.isHoldResult() {
		return a.name == holdResult, nil
	}
	return !r.Deferred, &Error{File: s.Path, Text: fmt.Sprintf("hold answered %s, wanted HOLD or GIVE_BACK", v.Type())}
}

// Decide asks the rule after what becomes of a dead letter. Where the rule is missing, or fails with an error, the
// record is kept.
func (s *Settings) Decide(r Record, p Partner) (Decision, error) {
	if s.afterRule == nil {
		return Decision{}, nil
	}
	v, err := s.call(s.afterRule, &r, &p)
	if err != nil {
		return Decision{}, err
	}
	a, ok := v.(ruleResult)
	if !ok || a.isHoldResult() {
		return Decision{}, &Error{File: s.Path, Text: fmt.Sprintf("after answered %s, wanted keep(), again() or drop()",
			v.Type())}
	}
	if a.decision.Action == Redeliver && a.decision.Within == 0 {
		a.decision.Within = s.Resend.Within
	}
	return a.decision, nil
}

// Rules reports whether the script has the rule after.
func (s *Settings) Rules() bool { return s.afterRule != nil }

// call calls a rule within its limit of steps.
func (s *Settings) call(rule starlark.Callable, r *Record, p *Partner) (starlark.Value, error) {
	v, err := starlark.Call(newThread("rule", maxRuleSteps), rule, starlark.Tuple{r.value(), p.value()}, nil)
	if err != nil {
		return nil, locate(s.Path, err)
	}
	return v, nil
}
