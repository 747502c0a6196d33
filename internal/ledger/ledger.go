// Package ledger writes and reads the folder of a run: the scenario with its seed and versions, all recorded events,
// and the result. Events are written as JSON lines and compressed with zstd in blocks, so that an incomplete run can
// be read up to its last block. They are read one by one, in memory that does not depend on their number. The package
// does not check rules.
package ledger

import "time"

// The files in the folder of a run.
const (
	headFile   = "run.json"
	scriptFile = "scenario.star"
	eventsFile = "ledger.zst"
	resultFile = "result.json"
)

// formatVersion is the version of the format of the folder. Open returns an error for any other version.
const formatVersion = 1

// Header describes the scenario of a run and the program that ran it. It is stored in run.json.
type Header struct {
	Format   int       `json:"format"`
	Scenario string    `json:"scenario"`
	Seed     uint64    `json:"seed"`
	Mode     string    `json:"mode"` // "sockets" or "virtual"
	Program  string    `json:"program,omitempty"`
	Version  string    `json:"version"`
	Go       string    `json:"go"`
	Machine  string    `json:"machine"`
	Started  time.Time `json:"started"`

	Figures map[string]float64 `json:"figures,omitempty"` // parameters passed to the script
}
