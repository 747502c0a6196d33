package protocol

import (
	"errors"

	"github.com/tidwall/gjson"

	"cleathold/control"
	"cleathold/internal/state"
)

// ParseList reads discovery's list, or its changes. Any entry without an id makes all of it an error.
func ParseList(body []byte, n Names) (state.ListUpdate, error) {
	if !gjson.ValidBytes(body) {
		return state.ListUpdate{}, errors.New("list: not JSON")
	}
	list := gjson.ParseBytes(body)
	if !list.Get("servers").IsArray() || list.Get("version").Type != gjson.Number {
		return state.ListUpdate{}, errors.New("list: no servers or no version")
	}
	update := state.ListUpdate{Kind: control.ListDelta, Version: list.Get("version").Int()}
	if list.Get("full").Bool() {
		update.Kind = control.ListFull
	}
	for _, entry := range list.Get("servers").Array() {
		t := parseTarget(entry, n)
		if t.ID == "" {
			return state.ListUpdate{}, errors.New("list: an entry without id")
		}
		update.Targets = append(update.Targets, t)
	}
	return update, nil
}

// parseTarget reads one entry of a list.
func parseTarget(entry gjson.Result, n Names) state.Target {
	t := state.Target{ID: entry.Get("id").String(), Addr: entry.Get("addr").String()}
	t.Destination = int(entry.Get("cell").Int())
	t.Kind, t.Zone = lookUpNumber(n.Kinds, entry.Get("kind")), lookUpNumber(n.Zones, entry.Get("zone"))
	t.Weight = entry.Get("weight").Float()
	switch entry.Get("state").String() {
	case "up":
		t.State = control.Ready
	case "removed":
		t.State = control.Removed
	default:
		t.State = control.Draining // also a state that is not known here: no new work goes there
	}
	return t
}

// parseDraining reads the targets that drain or are removed off the part of a list that came. Entries that are not
// complete are left out.
func parseDraining(partial []byte, n Names) (draining []state.Target) {
	gjson.GetBytes(partial, "servers").ForEach(func(_, entry gjson.Result) bool {
		if !gjson.Valid(entry.Raw) || !entry.IsObject() {
			return false
		}
		if t := parseTarget(entry, n); t.ID != "" && t.State != control.Ready {
			draining = append(draining, t)
		}
		return true
	})
	return draining
}

// isUnchanged reports whether the part of a list that came names, completely, the version that is known already.
func isUnchanged(partial []byte, known int64) bool {
	version := gjson.GetBytes(partial, "version")
	complete := version.Index+len(version.Raw) < len(partial) // more digits could follow
	return version.Type == gjson.Number && complete && version.Int() == known
}

// lookUpNumber is the number of a name; -1 for one that the settings don't have.
func lookUpNumber(names map[string]int, v gjson.Result) int {
	if i, known := names[v.String()]; known {
		return i
	}
	return -1
}
