package settings

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"
)

// Record is the data about an undeliverable message that is passed to a rule.
type Record struct {
	ID, Key, Class, Tenant string
	Destination            int
	Size                   int    // bytes of the body
	Reason                 string // the reason why it was not delivered
	MayHaveRun             bool
	Deferred               bool // without the dead-letter queue, its client would be asked to retry later
	Attempts               int
	Redeliveries           int           // earlier redeliveries
	TimeLeft               time.Duration // until its deadline, at the time when it became undeliverable
	Age                    time.Duration // since it became a dead letter
}

// Partner is the data about a message's destination that is passed to a rule, as known to this sender.
type Partner struct {
	DeadLetters int           // dead letters for this destination
	InFlight    int           // redeliveries in flight
	Last        string        // the latest result of a call; "": there was none yet
	Failing     time.Duration // since the first of the consecutive failed calls; 0: the last call was served
	Served      time.Duration // since the last served call; negative: there was none
	RetryAfter  time.Duration // remaining time of the Retry-After that it sent
}

// attributes are the names of all fields of records and partners. A script may use no other attributes.
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

// recordFields maps the names of a record's fields in scripts to functions that return their values.
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
	"resends":       func(r *Record) starlark.Value { return starlark.MakeInt(r.Redeliveries) },
	"left":          func(r *Record) starlark.Value { return seconds(r.TimeLeft) },
	"age":           func(r *Record) starlark.Value { return seconds(r.Age) },
}

// partnerFields maps the names of a partner's fields in scripts to functions that return their values.
var partnerFields = map[string]func(*Partner) starlark.Value{
	"held":      func(p *Partner) starlark.Value { return starlark.MakeInt(p.DeadLetters) },
	"out":       func(p *Partner) starlark.Value { return starlark.MakeInt(p.InFlight) },
	"last":      func(p *Partner) starlark.Value { return starlark.String(p.Last) },
	"failing":   func(p *Partner) starlark.Value { return seconds(p.Failing) },
	"served":    func(p *Partner) starlark.Value { return seconds(p.Served) },
	"wait_left": func(p *Partner) starlark.Value { return seconds(p.RetryAfter) },
}

// object is a Starlark value with read-only fields.
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

// Attr returns a field, or nil for an unknown one, which the interpreter reports as an error with its position.
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

// Action is what the sender does with a dead letter.
type Action uint8

// The actions that the rule after can choose.
const (
	KeepRecord Action = iota
	Redeliver
	DropRecord
)

// Decision is the result of the rule after.
type Decision struct {
	Action   Action
	ReviewIn time.Duration // KeepRecord: the rule is called again after this time; 0: on the next change
	Delay    time.Duration // Redeliver: earliest start of the redelivery
	Within   time.Duration // Redeliver: the redelivery is abandoned after this time
}

// ruleResult is the result of a rule as a Starlark value.
type ruleResult struct {
	name     string
	decision Decision // for keep, drop and again
}

// Names of the results of the rule hold.
const (
	holdResult     = "HOLD"
	giveBackResult = "GIVE_BACK"
)

// isHoldResult reports whether the result is one that the rule hold can return.
func (a ruleResult) isHoldResult() bool { return a.name == holdResult || a.name == giveBackResult }

func (a ruleResult) String() string        { return a.name }
func (a ruleResult) Type() string          { return "verdict" }
func (a ruleResult) Freeze()               {}
func (a ruleResult) Truth() starlark.Bool  { return true }
func (a ruleResult) Hash() (uint32, error) { return 0, fmt.Errorf("unhashable: %s", a.Type()) }

// keepBuiltin implements keep(seconds), which keeps the record.
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

// dropBuiltin implements drop(), which drops the record.
func dropBuiltin(
	_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	err := starlark.UnpackArgs(b.Name(), args, kwargs)
	return ruleResult{name: "drop", decision: Decision{Action: DropRecord}}, err
}

// againBuiltin implements again(within, delay), which redelivers the message of the record.
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

// ShouldHold calls the rule hold. It reports whether an undeliverable message becomes a dead letter (true) or is
// returned to its client (false). If there is no rule or the rule fails, a message becomes a dead letter unless it
// would be deferred.
func (s *Settings) ShouldHold(r Record, p Partner) (bool, error) {
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
	return !r.Deferred, &Error{File: s.Path, Text: fmt.Sprintf("hold returned %s, want HOLD or GIVE_BACK", v.Type())}
}

// Decide calls the rule after to decide what the sender does with a dead letter. If there is no rule or the rule fails,
// the record is kept.
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
		return Decision{}, &Error{File: s.Path, Text: fmt.Sprintf("after returned %s, want keep(), again() or drop()",
			v.Type())}
	}
	if a.decision.Action == Redeliver && a.decision.Within == 0 {
		a.decision.Within = s.Redelivery.Within
	}
	return a.decision, nil
}

// HasAfterRule reports whether the script defines the rule after.
func (s *Settings) HasAfterRule() bool { return s.afterRule != nil }

// call calls a rule with a limit of maxRuleSteps interpreter steps.
func (s *Settings) call(rule starlark.Callable, r *Record, p *Partner) (starlark.Value, error) {
	v, err := starlark.Call(newThread("rule", maxRuleSteps), rule, starlark.Tuple{r.value(), p.value()}, nil)
	if err != nil {
		return nil, locate(s.Path, err)
	}
	return v, nil
}
