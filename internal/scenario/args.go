package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.starlark.net/starlark"
)

// args are the named arguments of one function call in a script. The methods that read an argument leave the default
// unchanged if the call does not pass it, and keep the first error in err.
type args struct {
	name   string // of the function
	values map[string]starlark.Value
	err    error
}

// take removes an argument and returns it. Arguments that are never taken are unknown ones.
func (a *args) take(name string) (starlark.Value, bool) {
	v, ok := a.values[name]
	delete(a.values, name)
	return v, ok
}

func (a *args) typeError(name, expected string, v starlark.Value) {
	if a.err == nil {
		a.err = fmt.Errorf("%s: got %s, want %s", name, v.Type(), expected)
	}
}

// withError returns a formatted error joined with the first error.
func (a *args) withError(format string, values ...any) error {
	return errors.Join(a.err, fmt.Errorf(format, values...))
}

// finish returns the first error, or an error for an unknown argument.
func (a *args) finish() error {
	if a.err != nil {
		return fmt.Errorf("%s: %w", a.name, a.err)
	}
	if len(a.values) > 0 {
		return fmt.Errorf("%s: unexpected argument %q", a.name, slices.Min(slices.Collect(maps.Keys(a.values))))
	}
	return nil
}

// takeAs takes an argument and converts it to one type. Want is the description of the type in the error.
func takeAs[T any](a *args, name, want string, convert func(starlark.Value) (T, bool), dest *T) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	x, ok := convert(v)
	if !ok {
		a.typeError(name, want, v)
	}
	*dest = x
}

func (a *args) number(name string, dest *float64) {
	takeAs(a, name, "a number", starlark.AsFloat, dest)
}

func (a *args) text(name string, dest *string) { takeAs(a, name, "a string", starlark.AsString, dest) }

func (a *args) integer(name string, dest *int) {
	takeAs(a, name, "a whole number", func(v starlark.Value) (int, bool) {
		i, err := starlark.AsInt32(v)
		return i, err == nil
	}, dest)
}

func (a *args) boolean(name string, dest *bool) {
	takeAs(a, name, "True or False", func(v starlark.Value) (bool, bool) {
		b, ok := v.(starlark.Bool)
		return bool(b), ok
	}, dest)
}

// duration takes a number of seconds.
func (a *args) duration(name string, dest *time.Duration) {
	f := dest.Seconds()
	a.number(name, &f)
	if f < 0 || f > 1e7 || f != f {
		a.err = errors.Join(a.err, fmt.Errorf("%s: seconds from 0 to 10,000,000", name))
		return
	}
	*dest = time.Duration(f * float64(time.Second))
}

// numberRange takes a number, or a pair of numbers as a range.
func (a *args) numberRange(name string, dest *Range) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	if f, isNumber := starlark.AsFloat(v); isNumber {
		*dest = Range{f, f}
	} else if pair, isPair := v.(starlark.Tuple); isPair && len(pair) == 2 {
		from, ok1 := starlark.AsFloat(pair[0])
		top, ok2 := starlark.AsFloat(pair[1])
		if !ok1 || !ok2 {
			a.typeError(name, "two numbers", v)
		}
		*dest = Range{from, top}
	} else {
		a.typeError(name, "a number or (from, to)", v)
	}
	if a.err == nil && !(dest.From >= 0 && dest.To >= dest.From && dest.To < 1e12) {
		a.err = fmt.Errorf("%s: a range needs ends of at least 0, in ascending order", name)
	}
}

// period takes a start time (at) and a length (seconds).
func (a *args) period(at, length *Range) {
	a.numberRange("at", at)
	a.numberRange("seconds", length)
}

// names takes a name or a list of names.
func (a *args) names(name string, dest *[]string) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	if one, ok := starlark.AsString(v); ok {
		*dest = []string{one}
		return
	}
	list, ok := v.(*starlark.List)
	if !ok {
		a.typeError(name, "a name or a list of them", v)
		return
	}
	for i := range list.Len() {
		one, ok := starlark.AsString(list.Index(i))
		if !ok {
			a.typeError(name, "a list of names", v)
			return
		}
		*dest = append(*dest, one)
	}
}
