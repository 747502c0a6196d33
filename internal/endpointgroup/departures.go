package endpointgroup

import (
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"cleathold/control"
	"cleathold/internal/atomicfile"
)

const (
	departuresFile = "departures"
	maxDepartures  = 256 // ids that are kept; those that left last
	// MaxDeparturesBytes is what the file of departures may take; with its replacement twice that.
	MaxDeparturesBytes = 4 << 10
)

// Departures is the ids of targets that drain or are gone, in the order in which they left, kept in the state folder.
//
// A process that starts has the list of its configuration, which may be older than what the process before it was
// told. While discovery can't be asked, it must not send to targets that have left since. The zero value is kept
// nowhere.
type Departures struct {
	path    string // empty: they are kept nowhere
	log     *slog.Logger
	ids     []string
	unsaved bool // the file does not hold them
}

// OpenDepartures reads what a process before this one has kept in a folder.
func OpenDepartures(dir string, log *slog.Logger) *Departures {
	d := &Departures{path: filepath.Join(dir, departuresFile), log: log}
	data, err := os.ReadFile(d.path)
	if err == nil {
		err = json.Unmarshal(data, &d.ids)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Warn("departures unreadable, none assumed", "err", err)
		d.ids = nil
	}
	return d
}

// IDs returns the ids of targets that have left, in the order in which they did.
func (d *Departures) IDs() []string { return d.ids }

// Apply marks the targets that have left as draining, in a list from before.
func (d *Departures) Apply(targets []Target) {
	for i := range targets {
		if targets[i].State == control.Ready && slices.Contains(d.ids, targets[i].ID) {
			targets[i].State = control.Draining
		}
	}
}

// Update takes over which targets of a group have left, and keeps that if it has changed.
func (d *Departures) Update(g *Group) {
	before := len(d.ids)
	d.ids = slices.DeleteFunc(d.ids, g.Ready)
	d.unsaved = d.unsaved || len(d.ids) != before
	var departed []string
	for id := range g.byID {
		if !g.Ready(id) && !slices.Contains(d.ids, id) {
			departed = append(departed, id)
		}
	}
	slices.Sort(departed)
	d.unsaved = d.unsaved || len(departed) > 0
	d.ids = append(d.ids, departed...)
	d.save()
}

// save writes the file anew, if it is not what it should be. What fails is tried again with the next list.
func (d *Departures) save() {
	if !d.unsaved || d.path == "" {
		return
	}
	d.ids = d.ids[max(0, len(d.ids)-maxDepartures):]
	data, err := json.Marshal(d.ids)
	for err == nil && len(data) > MaxDeparturesBytes {
		d.ids = d.ids[len(d.ids)/2:]
		data, err = json.Marshal(d.ids)
	}
	if err == nil {
		err = atomicfile.Write(d.path, data)
	}
	if err != nil {
		d.log.Warn("departures not written", "err", err)
		return
	}
	d.unsaved = false
}
