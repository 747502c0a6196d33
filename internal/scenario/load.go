package scenario

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	"go.starlark.net/starlark"

	"cleathold/internal/settings"
)

// Load reads and checks the script at a path. Figures replace the defaults of the params with the same names. Errors in
// the script are returned as by Parse.
func Load(path string, figures map[string]float64) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text, figures)
}

// Parse executes and checks the text of a script. Its errors are of type *settings.Error, with the file and, if known,
// line and column.
func Parse(path string, text []byte, figures map[string]float64) (*Scenario, error) {
	s := &Scenario{
		Settings: defaultSenderSettings,
		Path:     path, Script: text, Figures: figures, Senders: 1, InFlight: Range{1.8, 2.4}, OpenMessages: Range{7, 11},
		Traffic: Traffic{
			Zipf: Range{0.8, 1.15}, ClumpSeconds: Range{1, 3}, RetryDelay: Range{0.3, 2}, ResubmitDelay: Range{0.8, 2},
			Body: Range{100, 400}, Patience: 400 * time.Millisecond,
		},
	}
	globals := starlark.StringDict{}
	for mode := range faultModes {
		globals[mode] = starlark.String(mode)
	}
	for name, f := range s.functions() {
		globals[name] = starlark.NewBuiltin(name, withArgs(f))
	}
	unused := maps.Clone(figures)
	globals["param"] = starlark.NewBuiltin("param", param(figures, unused))
	if _, err := settings.Exec(path, text, globals); err != nil {
		return nil, err
	}
	if len(unused) > 0 {
		first := slices.Min(slices.Collect(maps.Keys(unused)))
		return nil, &settings.Error{File: path, Text: fmt.Sprintf("no param(%q) in it", first)}
	}
	if err := s.check(); err != nil {
		return nil, &settings.Error{File: path, Text: err.Error()}
	}
	return s, nil
}

// functions returns the functions that a script calls to describe a scenario, by their names in the script.
func (s *Scenario) functions() map[string]func(*args) error {
	return map[string]func(*args) error{
		"agent":         s.addAgentAction,
		"agents":        s.setAgents,
		"burst":         s.addBurst,
		"churn":         s.addChurn,
		"discovery_out": s.addDiscoveryOutage,
		"fleet":         s.addFleet,
		"hot":           s.addHotKeys,
		"kind":          s.addKind,
		"link":          s.addLink,
		"message_class": s.addClass,
		"order":         s.addOrder,
		"parts":         s.addPartition,
		"ramp":          s.addRatePoint,
		"scenario":      s.setScenario,
		"sender":        s.addAction,
		"settings":      s.setSettings,
		"tenant":        s.addTenant,
		"traffic":       s.setTraffic,
		"trouble":       s.addFault,
	}
}

// builtin is the implementation of a function that scripts can call.
type builtin = func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error)

// withArgs returns a builtin that passes the named arguments of a call to f. Arguments that f does not take are an
// error.
func withArgs(f func(*args) error) builtin {
	return func(
		_ *starlark.Thread, b *starlark.Builtin, given starlark.Tuple, named []starlark.Tuple,
	) (starlark.Value, error) {
		if len(given) > 0 {
			return nil, fmt.Errorf("%s: arguments go by name", b.Name())
		}
		a := &args{name: b.Name(), values: map[string]starlark.Value{}}
		for _, pair := range named {
			a.values[string(pair[0].(starlark.String))] = pair[1]
		}
		if err := f(a); err != nil {
			return nil, fmt.Errorf("%s: %w", b.Name(), err)
		}
		return starlark.None, a.finish()
	}
}

// param returns the script function that returns a figure or its default. It deletes each requested figure from unused.
func param(figures, unused map[string]float64) builtin {
	return func(
		_ *starlark.Thread, b *starlark.Builtin, given starlark.Tuple, named []starlark.Tuple,
	) (starlark.Value, error) {
		var name string
		var usual starlark.Value
		if err := starlark.UnpackArgs(b.Name(), given, named, "name", &name, "usual", &usual); err != nil {
			return nil, err
		}
		if _, isNumber := starlark.AsFloat(usual); !isNumber {
			return nil, fmt.Errorf("param: usual: got %s, want a number", usual.Type())
		}
		delete(unused, name)
		value, isSet := figures[name]
		if !isSet {
			return usual, nil
		}
		if _, isInt := usual.(starlark.Int); isInt && value == math.Trunc(value) {
			return starlark.MakeInt64(int64(value)), nil
		}
		return starlark.Float(value), nil
	}
}
