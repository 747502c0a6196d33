package protocol

import (
	"errors"
	"strings"

	"github.com/tidwall/gjson"

	"cleathold/control"
	"cleathold/internal/state"
)

// errListTooLong is returned for a list with more entries than the sender has memory for.
var errListTooLong = errors.New("list: too many entries")

// ParseList parses the endpoint list of discovery, or a list update with the changes, of at most maxTargets entries. 0
// means unlimited. It returns an error if any entry has no id.
func ParseList(body []byte, n Names, maxTargets int) (state.ListUpdate, error) {
	if !gjson.ValidBytes(body) {
		return state.ListUpdate{}, errors.New("list: invalid JSON")
	}
	list := gjson.ParseBytes(body)
	if !list.Get("servers").IsArray() || list.Get("version").Type != gjson.Number {
		return state.ListUpdate{}, errors.New("list: servers array or version number is missing")
	}
	if maxTargets > 0 && list.Get("servers.#").Int() > int64(maxTargets) {
		return state.ListUpdate{}, errListTooLong
	}
	update := state.ListUpdate{Kind: control.ListDelta, Version: list.Get("version").Int()}
	if list.Get("full").Bool() {
		update.Kind = control.ListFull
	}
	for _, entry := range list.Get("servers").Array() {
		t := parseTarget(entry, n)
		if t.ID == "" {
			return state.ListUpdate{}, errors.New("list: entry has no id")
		}
		update.Targets = append(update.Targets, t)
	}
	return update, nil
}

// parseTarget parses one entry of a list. The target doesn't keep the memory of the list.
func parseTarget(entry gjson.Result, n Names) state.Target {
	t := state.Target{ID: strings.Clone(entry.Get("id").String()), Addr: strings.Clone(entry.Get("addr").String())}
	t.Destination = int(entry.Get("cell").Int())
	t.Kind, t.Zone = lookUpNumber(n.Kinds, entry.Get("kind")), lookUpNumber(n.Zones, entry.Get("zone"))
	t.Weight = entry.Get("weight").Float()
	switch entry.Get("state").String() {
	case "up":
		t.State = control.Ready
	case "removed":
		t.State = control.Removed
	default:
		t.State = control.Draining // an unknown state is treated as draining, so that no new messages are sent there
	}
	return t
}

// parseDraining returns the draining and removed targets in a partially received list, at most maxTargets. It omits
// incomplete entries.
func parseDraining(partial []byte, n Names, maxTargets int) (draining []state.Target) {
	gjson.GetBytes(partial, "servers").ForEach(func(_, entry gjson.Result) bool {
		if !gjson.Valid(entry.Raw) || !entry.IsObject() {
			return false
		}
		if t := parseTarget(entry, n); t.ID != "" && t.State != control.Ready {
			draining = append(draining, t)
		}
		return maxTargets <= 0 || len(draining) < maxTargets
	})
	return draining
}

// isUnchanged reports whether a partially received list contains the complete version field and that version is known.
func isUnchanged(partial []byte, known int64) bool {
	version := gjson.GetBytes(partial, "version")
	complete := version.Index+len(version.Raw) < len(partial) // more digits could follow
	return version.Type == gjson.Number && complete && version.Int() == known
}

// lookUpNumber returns the number of a name, or -1 if the settings don't contain the name.
func lookUpNumber(names map[string]int, v gjson.Result) int {
	if i, known := names[v.String()]; known {
		return i
	}
	return -1
}
