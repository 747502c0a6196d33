package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/klauspost/compress/zstd"

	"cleathold/internal/audit"
)

// maxBlockEvents is the number of events after which a block ends.
const maxBlockEvents = 2000

// maxBlockDuration is the maximum time of the run that a block spans.
const maxBlockDuration = 2 * time.Second

// Writer writes the folder of a run. It is not safe for concurrent use.
type Writer struct {
	dir        string
	file       io.WriteCloser
	compressor *zstd.Encoder
	encoder    *json.Encoder
	events     int
	flushAt    time.Duration // the first event at or after this time ends the block
	err        error         // the first error; nothing is written after it
}

// Create creates the folder of a run. It returns an error if the folder already contains a run.
func Create(dir string, h Header, script []byte) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, headFile)); err == nil {
		return nil, fmt.Errorf("run folder: %s already contains a run; use another folder", dir)
	}
	h.Format = formatVersion
	if err := writeJSON(filepath.Join(dir, headFile), h); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, scriptFile), script, 0o644); err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(dir, eventsFile), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return nil, fmt.Errorf("run folder: %w", err)
	}
	w, err := newWriter(dir, file)
	if err != nil {
		file.Close()
	}
	return w, err
}

// newWriter returns a Writer that writes its events to file.
func newWriter(dir string, file io.WriteCloser) (*Writer, error) {
	compressor, err := zstd.NewWriter(file, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return &Writer{dir: dir, file: file, compressor: compressor, encoder: json.NewEncoder(compressor)}, nil
}

// Append writes an event. After an error, such as a full disk, all later calls return the same error.
func (w *Writer) Append(e audit.Event) error {
	if w.err != nil {
		return w.err
	}
	if err := w.encoder.Encode(e); err != nil {
		w.err = fmt.Errorf("ledger: %w", err)
		return w.err
	}
	if w.events++; w.events%maxBlockEvents == 0 || e.At >= w.flushAt {
		w.flushAt = e.At + maxBlockDuration
		return w.Flush()
	}
	return nil
}

// Flush ends the current block, so that all events written so far can be read.
func (w *Writer) Flush() error {
	if w.err == nil {
		if err := w.compressor.Flush(); err != nil {
			w.err = fmt.Errorf("ledger: %w", err)
		}
	}
	return w.err
}

// Close closes the file of events without writing a result. The folder then holds an incomplete run.
func (w *Writer) Close() error {
	err := errors.Join(w.compressor.Close(), w.file.Close())
	if w.err == nil && err != nil {
		w.err = fmt.Errorf("ledger: %w", err)
	}
	return w.err
}

// Finish closes the file of events and writes the result as JSON.
func (w *Writer) Finish(result any) error {
	if err := w.Close(); err != nil {
		return err
	}
	return writeJSON(filepath.Join(w.dir, resultFile), result)
}

// writeJSON writes a value as indented JSON to a file.
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
