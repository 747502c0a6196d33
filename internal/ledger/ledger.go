// Package ledger keeps the folder of a run: what was played, with which seed and
// versions, every event that was seen, and what came of it. Events are streamed as
// JSON lines through zstd in blocks, so that a run that was broken off can be read
// up to its last block; they are read back one by one, in memory that does not grow
// with them.
package ledger

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/klauspost/compress/zstd"

	"cleathold/internal/audit"
)

// The files of a folder.
const (
	headName   = "run.json"
	scriptName = "scenario.star"
	eventsName = "ledger.zst"
	resultName = "result.json"
)

// format is the version of the folder's form. Another is refused.
const format = 1

// blockEvents are written out at the latest before more come.
const blockEvents = 2000

// blockSpan of a run's time is in a block at most.
const blockSpan = 2 * time.Second

// lineMost is the longest line that is read back.
const lineMost = 16 << 20

// Head says what was played.
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

	Figures map[string]float64 `json:"figures,omitempty"` // that the script was given
}

// Writer writes a folder. It is not safe for concurrent use.
type Writer struct {
	dir   string
	file  io.WriteCloser
	pack  *zstd.Encoder
	lines *json.Encoder
	count int
	flush time.Duration // an event from then on brings a block to its end
	err   error         // the first that there was; nothing is written after it
}

// Create makes a folder, which must not hold a run yet.
func Create(dir string, h Head, script []byte) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, headName)); err == nil {
		return nil, fmt.Errorf("run folder: %s holds a run already: name another", dir)
	}
	h.Format = format
	if err := writeJSON(filepath.Join(dir, headName), h); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, scriptName), script, 0o644); err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(dir, eventsName), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	w, err := newWriter(dir, file)
	if err != nil {
		file.Close()
	}
	return w, err
}

// newWriter writes events to any file.
func newWriter(dir string, file io.WriteCloser) (*Writer, error) {
	pack, err := zstd.NewWriter(file, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return &Writer{dir: dir, file: file, pack: pack, lines: json.NewEncoder(pack)}, nil
}

// Read takes an event. After an error, which a full disk is, all others fail alike.
func (w *Writer) Read(e audit.Event) error {
	if w.err != nil {
		return w.err
	}
	if err := w.lines.Encode(e); err != nil {
		w.err = fmt.Errorf("ledger: %w", err)
		return w.err
	}
	if w.count++; w.count%blockEvents == 0 || e.At >= w.flush {
		w.flush = e.At + blockSpan
		return w.Flush()
	}
	return nil
}

// Flush writes out what has come so far, as a block that can be read.
func (w *Writer) Flush() error {
	if w.err == nil {
		if err := w.pack.Flush(); err != nil {
			w.err = fmt.Errorf("ledger: %w", err)
		}
	}
	return w.err
}

// Close ends the events without a result: the run was broken off.
func (w *Writer) Close() error {
	err := w.pack.Close()
	err = errors.Join(err, w.file.Close())
	if w.err == nil && err != nil {
		w.err = fmt.Errorf("ledger: %w", err)
	}
	return w.err
}

// Finish ends the events and writes the result.
func (w *Writer) Finish(result any) error {
	if err := w.Close(); err != nil {
		return err
	}
	return writeJSON(filepath.Join(w.dir, resultName), result)
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append(text, '\n'), 0o644)
	}
	if err != nil {
		return fmt.Errorf("run folder: %w", err)
	}
	return nil
}

// Run is a folder that is read.
type Run struct {
	Dir    string
	Head   Head
	Script []byte
	Result json.RawMessage // nil: the run was broken off
}

// Open reads all of a folder but its events.
func Open(dir string) (*Run, error) {
	text, err := os.ReadFile(filepath.Join(dir, headName))
	if err != nil {
		return nil, fmt.Errorf("%s is no run folder: %w", dir, err)
	}
	r := &Run{Dir: dir}
	if err := json.Unmarshal(text, &r.Head); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, headName), err)
	}
	if r.Head.Format != format {
		return nil, fmt.Errorf("%s: format %d, this program reads format %d", dir, r.Head.Format, format)
	}
	if r.Script, err = os.ReadFile(filepath.Join(dir, scriptName)); err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	switch r.Result, err = os.ReadFile(filepath.Join(dir, resultName)); {
	case errors.Is(err, fs.ErrNotExist):
		r.Result = nil
	case err != nil:
		return nil, fmt.Errorf("run folder: %w", err)
	}
	return r, nil
}

// ScriptPath is for errors that name a line of the script.
func (r *Run) ScriptPath() string { return filepath.Join(r.Dir, scriptName) }

// Events gives each event to a function, whose error ends it. A ledger that ends
// in the middle of a block or line is read up to there, and whole is false.
func (r *Run) Events(do func(audit.Event) error) (whole bool, err error) {
	file, err := os.Open(filepath.Join(r.Dir, eventsName))
	if err != nil {
		return false, fmt.Errorf("ledger: %w", err)
	}
	defer file.Close()
	unpack, err := zstd.NewReader(file, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20), zstd.WithDecoderLowmem(true))
	if err != nil {
		return false, fmt.Errorf("ledger: %w", err)
	}
	defer unpack.Close()
	lines := bufio.NewScanner(unpack)
	lines.Buffer(make([]byte, 64<<10), lineMost)
	for lines.Scan() {
		var e audit.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return false, nil // the last line of one that was broken off
		}
		if err := do(e); err != nil {
			return false, err
		}
	}
	return lines.Err() == nil, nil
}
