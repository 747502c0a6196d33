package ledger

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/klauspost/compress/zstd"

	"cleathold/internal/audit"
)

// maxLineBytes is the maximum length of an encoded event that can be read.
const maxLineBytes = 16 << 20

// Run holds the contents of the folder of a run, except its events.
type Run struct {
	Dir    string
	Head   Header
	Script []byte
	Result json.RawMessage // nil if the run is incomplete
}

// Open reads the folder of a run, except its events. It returns an error if the folder contains no run or a run in
// another format.
func Open(dir string) (*Run, error) {
	text, err := os.ReadFile(filepath.Join(dir, headFile))
	if err != nil {
		return nil, fmt.Errorf("%s is not the folder of a run: %w", dir, err)
	}
	r := &Run{Dir: dir}
	if err := json.Unmarshal(text, &r.Head); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, headFile), err)
	}
	if r.Head.Format != formatVersion {
		return nil, fmt.Errorf("%s: unsupported format %d, want %d", dir, r.Head.Format, formatVersion)
	}
	if r.Script, err = os.ReadFile(filepath.Join(dir, scriptFile)); err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	switch r.Result, err = os.ReadFile(filepath.Join(dir, resultFile)); {
	case errors.Is(err, fs.ErrNotExist):
		r.Result = nil
	case err != nil:
		return nil, fmt.Errorf("run folder: %w", err)
	}
	return r, nil
}

// ScriptPath returns the path of the script, for error messages that refer to its lines.
func (r *Run) ScriptPath() string { return filepath.Join(r.Dir, scriptFile) }

// Events calls visit for each event until visit returns an error, which Events returns. If the ledger ends in the
// middle of a block or of a line, Events reads it up to there and returns false for complete.
func (r *Run) Events(visit func(audit.Event) error) (complete bool, err error) {
	file, err := os.Open(filepath.Join(r.Dir, eventsFile))
	if err != nil {
		return false, fmt.Errorf("ledger: %w", err)
	}
	defer file.Close()
	decompressor, err := zstd.NewReader(file,
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20), zstd.WithDecoderLowmem(true))
	if err != nil {
		return false, fmt.Errorf("ledger: %w", err)
	}
	defer decompressor.Close()
	scanner := bufio.NewScanner(decompressor)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		var e audit.Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return false, nil // the last line of an incomplete run
		}
		if err := visit(e); err != nil {
			return false, err
		}
	}
	return scanner.Err() == nil, nil
}
