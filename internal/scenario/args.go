package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.starlark.net/starlark"
)

// args are the arguments of one call of a script, which are taken by name. The methods that take one leave its
// default where the call does not give it, and keep the first error in err.
type args struct {
	name  string // of the function
	given map[string]starlark.Value
	err   error
}

// take returns an argument, which then counts as known.
func (a *args) take(name string) (starlark.Value, bool) {
	v, ok := a.given[name]
	delete(a.given, name)
	return v, ok
}

func (a *args) fail(name, want string, v starlark.Value) {
	if a.err == nil {
		a.err = fmt.Errorf("%s: got %s, want %s", name, v.Type(), want)
	}
}

// invalid adds an error to the first one.
func (a *args) invalid(format string, values ...any) error {
	return errors.Join(a.err, fmt.Errorf(format, values...))
}

// done returns the first error, or one for an argument that is not known.
func (a *args) done() error {
	if a.err != nil {
		return fmt.Errorf("%s: %w", a.name, a.err)
	}
	if len(a.given) > 0 {
		return fmt.Errorf("%s: unexpected argument %q", a.name, slices.Min(slices.Collect(maps.Keys(a.given))))
	}
	return nil
}

// takeAs takes an argument that has to be of one type. Want names the type in the error.
func takeAs[T any](a *args, name, want string, convert func(starlark.Value) (T, bool), to *T) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	x, ok := convert(v)
	if !ok {
		a.fail(name, want, v)
	}
	*to = x
}

func (a *args) number(name string, to *float64) { takeAs(a, name, "a number", starlark.AsFloat, to) }

func (a *args) text(name string, to *string) { takeAs(a, name, "a string", starlark.AsString, to) }

func (a *args) integer(name string, to *int) {
	takeAs(a, name, "a whole number", func(v starlark.Value) (int, bool) {
		i, err := starlark.AsInt32(v)
		return i, err == nil
	}, to)
}

func (a *args) boolean(name string, to *bool) {
	takeAs(a, name, "True or False", func(v starlark.Value) (bool, bool) {
		b, ok := v.(starlark.Bool)
		return bool(b), ok
	}, to)
}

// duration takes a number of seconds.
func (a *args) duration(name string, to *time.Duration) {
	f := to.Seconds()
	a.number(name, &f)
	if f < 0 || f > 1e7 || f != f {
		a.err = errors.Join(a.err, fmt.Errorf("%s: seconds from 0 to 10,000,000", name))
		return
	}
	*to = time.Duration(f * float64(time.Second))
}

// numberRange takes a number, or two as a range.
func (a *args) numberRange(name string, to *Range) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	if f, isNumber := starlark.AsFloat(v); isNumber {
		*to = Range{f, f}
	} else if pair, isPair := v.(starlark.Tuple); isPair && len(pair) == 2 {
		from, ok1 := starlark.AsFloat(pair[0])
		top, ok2 := starlark.AsFloat(pair[1])
		if !ok1 || !ok2 {
			a.fail(name, "two numbers", v)
		}
		*to = Range{from, top}
	} else {
		a.fail(name, "a number or (from, to)", v)
	}
	if a.err == nil && !(to.From >= 0 && to.To >= to.From && to.To < 1e12) {
		a.err = fmt.Errorf("%s: a range from 0 up, its ends in order", name)
	}
}

// period takes when something begins, and for how long it lasts.
func (a *args) period(at, length *Range) {
	a.numberRange("at", at)
	a.numberRange("seconds", length)
}

// names takes one name, or a list of them.
func (a *args) names(name string, to *[]string) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	if one, ok := starlark.AsString(v); ok {
		*to = []string{one}
		return
	}
	list, ok := v.(*starlark.List)
	if !ok {
		a.fail(name, "a name or a list of them", v)
		return
	}
	for i := range list.Len() {
		one, ok := starlark.AsString(list.Index(i))
		if !ok {
			a.fail(name, "a list of names", v)
			return
		}
		*to = append(*to, one)
	}
}
