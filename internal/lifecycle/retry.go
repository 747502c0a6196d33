package lifecycle

import (
	"errors"
	"log/slog"
	"syscall"
	"time"
)

// What a start needs from the system may fail for a moment: a full disk, no descriptors, no memory for a socket. A
// sender that ended then would have crashed; it retries for a while, within the time in which it has to be ready.
const (
	startTimeout  = 8 * time.Second        // for what it can't do without; a sender is to be ready within 10 s
	reloadTimeout = time.Second            // for a configuration after SIGHUP, while signals wait
	gossipTimeout = 500 * time.Millisecond // for the gossip socket
	retryInterval = 50 * time.Millisecond
)

// transientErrors are errors of the system that may be over in a moment.
var transientErrors = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ENOSPC, syscall.EDQUOT,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
}

// isTransient reports whether an error may be over in a moment.
func isTransient(err error) bool {
	for _, e := range transientErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// retry opens a resource, again and again for a while as long as its error is transient. It returns the last error.
func retry[T any](log *slog.Logger, resource string, timeout time.Duration, open func() (T, error)) (T, error) {
	deadline := time.Now().Add(timeout)
	for {
		v, err := open()
		if err == nil || !isTransient(err) || time.Now().After(deadline) {
			return v, err
		}
		log.Warn("transient error, retrying", "resource", resource, "err", err)
		time.Sleep(retryInterval)
	}
}
