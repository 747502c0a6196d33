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

// Load reads a script. Figures go in the place of those that it names by param.
func Load(path string, figures map[string]float64) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text, figures)
}

// Parse reads a script's text and checks it. Errors name file, line and column.
func Parse(path string, text []byte, figures map[string]float64) (*Scenario, error) {
	s := &Scenario{
		Path: path, Script: text, Figures: figures, Senders: 1, InFlight: Range{1.8, 2.4}, OpenMessages: Range{7, 11},
		Traffic: Traffic{
			Zipf: Range{0.8, 1.15}, Clump: Range{1, 3}, RetryDelay: Range{0.3, 2}, ResubmitDelay: Range{0.8, 2}, Body: Range{100, 400},
			Patience: 400 * time.Millisecond,
		},
	}
	names := starlark.StringDict{}
	for word := range faultModes {
		names[word] = starlark.String(word)
	}
	for name, f := range map[string]func(*args) error{
		"scenario": s.setScenario, "kind": s.addKind, "fleet": s.addFleet, "traffic": s.setTraffic, "message_class": s.addClass,
		"tenant": s.addTenant, "trouble": s.addFault, "burst": s.addBurst, "hot": s.addHotKeys, "sender": s.addAction, "churn": s.addChurn,
		"ramp": s.addRatePoint, "discovery_out": s.addDiscoveryOutage, "agents": s.setAgents, "agent": s.addAgentAction, "order": s.addOrder, "link": s.addLink, "parts": s.addPartition,
	} {
		names[name] = starlark.NewBuiltin(name, func(_ *starlark.Thread, b *starlark.Builtin, given starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
			if len(given) > 0 {
				return nil, fmt.Errorf("%s: arguments go by name", b.Name())
			}
			a := &args{name: b.Name(), given: map[string]starlark.Value{}}
			for _, pair := range named {
				a.given[string(pair[0].(starlark.String))] = pair[1]
			}
			if err := f(a); err != nil {
				return nil, fmt.Errorf("%s: %w", b.Name(), err)
			}
			return starlark.None, a.done()
		})
	}
	unused := maps.Clone(figures)
	names["param"] = starlark.NewBuiltin("param", func(_ *starlark.Thread, b *starlark.Builtin, given starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
		var name string
		var usual starlark.Value
		if err := starlark.UnpackArgs(b.Name(), given, named, "name", &name, "usual", &usual); err != nil {
			return nil, err
		}
		if _, isNumber := starlark.AsFloat(usual); !isNumber {
			return nil, fmt.Errorf("param: usual: got %s, want a number", usual.Type())
		}
		v, set := figures[name]
		delete(unused, name)
		if _, isInt := usual.(starlark.Int); set && isInt && v == math.Trunc(v) {
			return starlark.MakeInt64(int64(v)), nil
		} else if set {
			return starlark.Float(v), nil
		}
		return usual, nil
	})
	if _, err := settings.Exec(path, text, names); err != nil {
		return nil, err
	}
	if len(unused) > 0 {
		return nil, &settings.Error{File: path, Text: fmt.Sprintf("no param(%q) in it", slices.Min(slices.Collect(maps.Keys(unused))))}
	}
	if err := s.check(); err != nil {
		return nil, &settings.Error{File: path, Text: err.Error()}
	}
	return s, nil
}
