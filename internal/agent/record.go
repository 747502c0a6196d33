package agent

import (
	"encoding/json"
	"fmt"
	"os"

	"cleathold/internal/rollout"
)

// record is what an agent must know of a sender after its own restart.
type record struct {
	Version   rollout.Version `json:"version"` // that its process runs
	Admin     int             `json:"admin"`   // which of its second addresses it has
	Pid       int             `json:"pid,omitempty"`
	StartTime string          `json:"start,omitempty"`
	Successor *successor      `json:"heir,omitempty"` // a process that was to take over
}

type successor struct {
	Version   rollout.Version `json:"version"`
	Pid       int             `json:"pid"`
	StartTime string          `json:"start"`
}

// updateRecord changes the record, on disk first.
func (s *supervisor) updateRecord(change func(*record)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.rec
	change(&changed)
	text, err := json.Marshal(changed)
	if err == nil {
		if err = os.WriteFile(s.recordPath+".new", text, 0o600); err == nil {
			err = os.Rename(s.recordPath+".new", s.recordPath)
		}
	}
	if err != nil {
		return fmt.Errorf("agent: the record of %s: %w", s.Name, err)
	}
	s.rec = changed
	return nil
}

func (s *supervisor) record() record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rec
}

// version is what the sender runs.
func (s *supervisor) version() rollout.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rec.Version
}
