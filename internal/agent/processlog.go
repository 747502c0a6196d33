package agent

import (
	"fmt"
	"os"
	"time"
)

const (
	maxLogSize      = 16 << 20    // bytes of a sender's log file, and of the older one beside it
	logTrimInterval = time.Minute // between two checks of the size
	logTailSize     = 300         // bytes of a log that an error quotes
)

// openLog opens a sender's log file for appending. One beyond maxLogSize becomes the older one.
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

// trimLog bounds the log file of a running process. The content is copied, not renamed: the process goes on appending
// to the same file.
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

// logTail returns the end of a log file, or why it can't be read.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailSize):])
}
