package agent

import (
	"fmt"
	"os"
)

// logTail is the end of a log.
func logTail(path string) string {
	const most = 300
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-most):])
}

const maxLogSize = 16 << 20 // bytes of a sender's log, and of the one before it

// openLog opens a sender's log for more. One that has grown too long becomes the one before it.
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

// trimLog keeps the log of a process that runs within its bound: what is there becomes the one before, by copy, as
// the process goes on writing at the end of the same file.
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
