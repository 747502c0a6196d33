package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.starlark.net/starlark"
)

// args are the arguments of a call, taken by name.
type args struct {
	name  string
	given map[string]starlark.Value
	err   error
}

// take returns an argument, which is then known.
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

// done tells what was wrong, or an argument that is not known.
func (a *args) done() error {
	if a.err != nil {
		return fmt.Errorf("%s: %w", a.name, a.err)
	}
	if len(a.given) > 0 {
		return fmt.Errorf("%s: unexpected argument %q", a.name, slices.Min(slices.Collect(maps.Keys(a.given))))
	}
	return nil
}

func (a *args) number(name string, to *float64) {
	if v, ok := a.take(name); ok {
		f, isNumber := starlark.AsFloat(v)
		if !isNumber {
			a.fail(name, "a number", v)
		}
		*to = f
	}
}

func (a *args) integer(name string, to *int) {
	if v, ok := a.take(name); ok {
		i, err := starlark.AsInt32(v)
		if err != nil {
			a.fail(name, "a whole number", v)
		}
		*to = i
	}
}

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

func (a *args) text(name string, to *string) {
	if v, ok := a.take(name); ok {
		s, isText := starlark.AsString(v)
		if !isText {
			a.fail(name, "a string", v)
		}
		*to = s
	}
}

func (a *args) boolean(name string, to *bool) {
	if v, ok := a.take(name); ok {
		b, isBool := v.(starlark.Bool)
		if !isBool {
			a.fail(name, "True or False", v)
		}
		*to = bool(b)
	}
}

// names reads one name, or a list of them.
func (a *args) names(name string, to *[]string) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	if one, is := starlark.AsString(v); is {
		*to = []string{one}
		return
	}
	list, is := v.(*starlark.List)
	if !is {
		a.fail(name, "a name or a list of them", v)
		return
	}
	for i := range list.Len() {
		one, is := starlark.AsString(list.Index(i))
		if !is {
			a.fail(name, "a list of names", v)
			return
		}
		*to = append(*to, one)
	}
}
