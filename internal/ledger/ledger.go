// Package ledger writes and reads the folder of a run: what was played, with which seed and versions, every event
// that was recorded, and the result. Events are streamed as JSON lines through zstd in blocks, so that an incomplete
// run can be read up to its last block. They are read back one by one, in memory that does not grow with them. The
// package judges nothing.
package ledger

import "time"

// The files of a folder.
const (
	headFile   = "run.json"
	scriptFile = "scenario.star"
	eventsFile = "ledger.zst"
	resultFile = "result.json"
)

// formatVersion is the version of the folder's format. Open rejects others.
const formatVersion = 1

// Head is what was played, by which program. It stands in run.json.
type Head struct {
	Format   int       `json:"format"`
	Scenario string    `json:"scenario"`
	Seed     uint64    `json:"seed"`
	Mode     string    `json:"mode"` // "sockets" or "virtual"
	Program  string    `json:"program,omitempty"`
	Version  string    `json:"version"`
	Go       string    `json:"go"`
	Machine  string    `json:"machine"`
	Started  time.Time `json:"started"`

	Figures map[string]float64 `json:"figures,omitempty"` // given to the script
}
