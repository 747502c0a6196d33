package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"

	"cleathold/internal/rollout"
)

// record is the information about a sender that an agent needs after its own restart.
type record struct {
	Version    rollout.Version `json:"version"` // version that the process runs
	AdminIndex int             `json:"admin"`   // index of the process's admin address
	Pid        int             `json:"pid,omitempty"`
	StartTime  string          `json:"start,omitempty"` // start time of the process; see process.startTime
	Successor  *successor      `json:"heir,omitempty"`  // nil unless a hand-over is in progress
}

// successor is a process that takes over from the sender's current one. It has the other admin address.
type successor struct {
	Version   rollout.Version `json:"version"`
	Pid       int             `json:"pid"`
	StartTime string          `json:"start"`
}

// recordFile is the record of one sender and the file that stores it. It is safe for concurrent use.
type recordFile struct {
	sender string
	path   string

	mu      sync.Mutex
	current record
}

// openRecord reads a sender's record. A sender without a record runs the first version.
func openRecord(sender, path string, first rollout.Version) (*recordFile, error) {
	f := &recordFile{sender: sender, path: path, current: record{Version: first}}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	f.current = record{}
	if err := json.Unmarshal(text, &f.current); err != nil {
		return nil, fmt.Errorf("agent: %s: %w; remove the file to make the sender run %s", path, err, first.Name)
	}
	return f, nil
}

// get returns the record.
func (f *recordFile) get() record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// update changes the record. It writes the file first; after an error the record in memory is unchanged.
func (f *recordFile) update(change func(*record)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.current
	change(&next)
	text, err := json.Marshal(next)
	if err == nil {
		err = replaceFile(f.path, text)
	}
	if err != nil {
		return fmt.Errorf("agent: the record of %s: %w", f.sender, err)
	}
	f.current = next
	return nil
}

// replaceFile replaces a file's content by means of a rename, so that a reader gets either the old or the new content.
func replaceFile(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
