package endpointgroup

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
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
	doubtFile      = "departures-doubt"
	maxDepartures  = 256 // maximum number of IDs kept; the oldest are dropped first

	maxDeparturesBytes = 4 << 10 // maximum size of the file of departures
	maxDoubtBytes      = 512     // maximum size of the file of the doubt
	// ReservedBytes is the maximum size of all files that Departures keeps in the state folder. While a file is being
	// replaced, the folder holds it twice.
	ReservedBytes = 2 * (maxDeparturesBytes + maxDoubtBytes)
)

// Departures is what a process leaves to the next one about its endpoint list, stored in the state folder. A new process
// starts with the list of its configuration, which may be older. Until discovery answers it must not send to targets
// that have left since.
//
// Two states are kept apart. The IDs are those of targets that discovery reported as draining or removed, in the order
// in which they left. The Doubt says that any other target may have left, too, because an answer of discovery could not
// be read.
//
// The file of departures is an array of IDs, which is all that earlier versions know. During a doubt it also holds all
// other targets after those that have left, so that an earlier version sends nothing to them. The file of the doubt says
// which of them are only doubted. It names the content of the file of departures to which it belongs: if another
// version has changed that file, or a kill came between the two writes, it does not count.
//
// The zero value is not stored.
type Departures struct {
	dir    string // folder of the files; empty if they are not stored
	log    *slog.Logger
	ids    []string // of the targets that have left
	doubt  Doubt
	legacy bool // the file of departures does not tell what is only doubted

	unreadable bool // a file exists and could not be read, and was not replaced since
	failing    bool // the latest write failed, which was logged

	storedIDs   []byte // content of the file of departures; nil: none or not known
	storedDoubt []byte // content of the file of the doubt; nil: none
}

// Doubt is the time in which targets may have left without the sender's knowledge. Its times are timestamps of the
// write-ahead log's time base, in microseconds. The zero value means that there is no doubt.
type Doubt struct {
	Since  int64 `json:"since_us"`  // when discovery began the first answer that could not be read
	Latest int64 `json:"latest_us"` // when it began the latest one
}

// storedDoubt is the content of the file of the doubt.
type storedDoubt struct {
	Doubt
	Known      int    `json:"known"`      // number of leading IDs in the file of departures that have left
	Departures string `json:"departures"` // digest of the file of departures
}

// OpenDepartures reads what an earlier process stored in a folder.
func OpenDepartures(dir string, log *slog.Logger) *Departures {
	d := &Departures{dir: dir, log: log}
	d.storedIDs = d.read(departuresFile, &d.ids)
	if d.storedIDs == nil {
		d.ids = nil
	}
	var stored storedDoubt
	d.storedDoubt = d.read(doubtFile, &stored)
	belongs := d.storedDoubt != nil && stored.Departures == digest(d.storedIDs)
	if belongs && stored.Known >= 0 && stored.Known <= len(d.ids) {
		d.ids, d.doubt = d.ids[:stored.Known], stored.Doubt
	} else {
		d.legacy = true
	}
	return d
}

// read decodes a file and returns its content. The result is nil if there is no such file or it can't be read.
func (d *Departures) read(name string, into any) []byte {
	data, err := os.ReadFile(filepath.Join(d.dir, name))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err == nil {
		return data
	}
	if !errors.Is(err, fs.ErrNotExist) {
		d.unreadable = true
		d.log.Warn("failed to read departures; starting without any", "file", name, "err", err)
	}
	return nil
}

// digest identifies the content of the file of departures.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// IDs returns the IDs of the targets that have left, in the order in which they left.
func (d *Departures) IDs() []string { return d.ids }

// Doubt returns the stored doubt.
func (d *Departures) Doubt() Doubt { return d.doubt }

// MayAllHaveLeft reports whether the files can't be read, or the stored IDs include all ready targets of a list and don't
// tell whether these have left. An earlier version stored all targets when it was in doubt.
func (d *Departures) MayAllHaveLeft(list []Target) bool {
	if d.unreadable {
		return true
	}
	ready := 0
	for _, t := range list {
		if t.State != control.Ready {
			continue
		}
		if !slices.Contains(d.ids, t.ID) {
			return false
		}
		ready++
	}
	return d.legacy && ready > 0
}

// ForgetIDs drops the stored IDs, for a caller that takes them for a doubt.
func (d *Departures) ForgetIDs() { d.ids = nil }

// Update updates the departures from the current state of a group, and stores them and the doubt if they have changed.
// It reports whether everything is stored. If not, the next Update tries again.
func (d *Departures) Update(g *Group, doubt Doubt) (stored bool) {
	d.ids = slices.DeleteFunc(d.ids, g.Ready)
	d.ids = append(d.ids, others(g, d.ids, func(id string) bool { return !g.Ready(id) })...)
	d.ids = d.ids[max(0, len(d.ids)-maxDepartures):]
	d.doubt, d.legacy = doubt, false
	if d.dir == "" {
		return true
	}
	err := d.save(g)
	if err != nil && !d.failing {
		d.log.Warn("failed to write departures", "err", err)
	}
	d.failing = err != nil
	d.unreadable = d.unreadable && d.failing
	return !d.failing
}

// others returns the sorted IDs of the selected targets of a group that are not in a list.
func others(g *Group, list []string, selected func(id string) bool) []string {
	var ids []string
	for id := range g.byID {
		if selected(id) && !slices.Contains(list, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// save writes the files whose content has changed, first that of the departures.
func (d *Departures) save(g *Group) error {
	if d.storedIDs == nil && len(d.ids) == 0 && d.doubt == (Doubt{}) && !d.unreadable {
		return d.removeDoubt()
	}
	ids := d.encodeIDs(g)
	if err := d.replace(departuresFile, ids, &d.storedIDs); err != nil {
		return err
	}
	if d.doubt == (Doubt{}) {
		return d.removeDoubt()
	}
	doubt, err := json.Marshal(storedDoubt{Doubt: d.doubt, Known: len(d.ids), Departures: digest(ids)})
	if err != nil {
		return err
	}
	return d.replace(doubtFile, doubt, &d.storedDoubt)
}

// encodeIDs returns the content of the file of departures. The doubted targets are left out if they don't fit.
func (d *Departures) encodeIDs(g *Group) []byte {
	if d.doubt != (Doubt{}) && len(d.ids)+len(g.byID) <= maxDepartures {
		doubted := others(g, d.ids, func(string) bool { return true })
		if data := encodeList(append(slices.Clone(d.ids), doubted...)); len(data) <= maxDeparturesBytes {
			return data
		}
	}
	data := encodeList(d.ids)
	for len(data) > maxDeparturesBytes {
		d.ids = d.ids[len(d.ids)/2:]
		data = encodeList(d.ids)
	}
	return data
}

// encodeList returns the JSON array of some IDs.
func encodeList(ids []string) []byte {
	if ids == nil {
		ids = []string{}
	}
	data, _ := json.Marshal(ids) // strings can always be encoded
	return data
}

// replace replaces a file unless it has the content already.
func (d *Departures) replace(name string, content []byte, stored *[]byte) error {
	if bytes.Equal(content, *stored) {
		return nil
	}
	if err := atomicfile.Write(filepath.Join(d.dir, name), content); err != nil {
		return err
	}
	*stored = content
	return nil
}

// removeDoubt removes the file of the doubt.
func (d *Departures) removeDoubt() error {
	if d.storedDoubt == nil && !d.unreadable {
		return nil
	}
	err := os.Remove(filepath.Join(d.dir, doubtFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	d.storedDoubt = nil
	return nil
}
