package state

import (
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"cleathold/control"
)

// A process that starts has the list of its configuration, which may be older than what the process before it was told.
// While discovery can't be asked, it must not send to targets that have left since. So the ids of those are kept in the
// state folder.

const (
	departuresFile     = "departures"
	maxDepartures      = 256     // ids that are kept; those that left last
	maxDeparturesBytes = 4 << 10 // bytes that the file may take; with its replacement twice that
)

// A departures is the ids of targets that drain or are gone, in the order in which they left.
type departures struct {
	path  string // empty: they are kept nowhere
	log   *slog.Logger
	ids   []string
	dirty bool // the file does not hold them
}

// openDepartures reads what a process before this one has kept in a folder.
func openDepartures(dir string, log *slog.Logger) *departures {
	d := &departures{path: filepath.Join(dir, departuresFile), log: log}
	text, err := os.ReadFile(d.path)
	if err == nil {
		err = json.Unmarshal(text, &d.ids)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Warn("targets that left before can't be read", "err", err)
		d.ids = nil
	}
	return d
}

// apply takes targets that have left off a list from before.
func (d *departures) apply(targets []Target) {
	for i := range targets {
		if targets[i].State == control.Ready && slices.Contains(d.ids, targets[i].ID) {
			targets[i].State = control.Draining
		}
	}
}

// update takes over which targets of a group have left, and keeps that if it has changed.
func (d *departures) update(g *group) {
	before := len(d.ids)
	d.ids = slices.DeleteFunc(d.ids, func(id string) bool { return g.ready(id) })
	d.dirty = d.dirty || len(d.ids) != before
	var new []string
	for id := range g.byID {
		if !g.ready(id) && !slices.Contains(d.ids, id) {
			new = append(new, id)
		}
	}
	slices.Sort(new)
	d.dirty = d.dirty || len(new) > 0
	d.ids = append(d.ids, new...)
	d.save()
}

// save writes the file anew, if it is not what it should be. What fails is tried again with the next list.
func (d *departures) save() {
	if !d.dirty || d.path == "" {
		return
	}
	d.ids = d.ids[max(0, len(d.ids)-maxDepartures):]
	text, err := json.Marshal(d.ids)
	for err == nil && len(text) > maxDeparturesBytes {
		d.ids = d.ids[len(d.ids)/2:]
		text, err = json.Marshal(d.ids)
	}
	if err == nil {
		err = replaceFile(d.path, text)
	}
	if err != nil {
		d.log.Warn("targets that left can't be kept for the next start", "err", err)
		return
	}
	d.dirty = false
}
