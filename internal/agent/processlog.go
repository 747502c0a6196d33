package agent

import (
	"fmt"
	"os"
	"time"
)

const (
	maxLogSize      = 16 << 20    // bytes; of a sender's log file, and of its previous one (.1)
	logTrimInterval = time.Minute // between checks of the log file's size
	logTailSize     = 300         // bytes of the log that an error message quotes
)

// openLog opens a sender's log file for appending. A file larger than maxLogSize is renamed to .1 first.
func openLog(path string) (*os.File, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > maxLogSize {
		os.Rename(path, path+".1")
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	return f, nil
}

// trimLog limits the size of a running process's log file. It copies the content to .1 and truncates the file instead
// of renaming it, since the process keeps appending to the open file.
func trimLog(path string) {
	info, err := os.Stat(path)
	if err != nil || info.Size() <= maxLogSize {
		return
	}
	text, err := os.ReadFile(path)
	if err == nil && os.WriteFile(path+".1", text[max(0, len(text)-maxLogSize):], 0o600) == nil {
		os.Truncate(path, 0)
	}
}

// logTail returns the end of a log file, or the text of the error if it can't be read.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailSize):])
}
