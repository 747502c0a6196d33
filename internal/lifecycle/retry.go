package lifecycle

import (
	"errors"
	"log/slog"
	"syscall"
	"time"
)

// Opening a resource at start can fail transiently, for example on a full disk, without free descriptors or memory for a
// socket, or while another process that is leaving still has the address. Exiting then would count as a crash, so the
// sender retries, within the time in which it must be ready.
const (
	startTimeout  = 25 * time.Second       // for required resources; a sender must be ready within 30 s
	reloadTimeout = time.Second            // for the configuration after SIGHUP; other signals are not handled meanwhile
	gossipTimeout = 500 * time.Millisecond // for the gossip socket
	retryInterval = 50 * time.Millisecond
)

// transientErrors are the system errors that may go away without intervention.
var transientErrors = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.EIO, syscall.ENOSPC, syscall.EDQUOT,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRINUSE,
}

// isTransient reports whether an error is, or wraps, one of transientErrors.
func isTransient(err error) bool {
	for _, e := range transientErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// retry calls open until it succeeds, fails with an error that is not transient, or the timeout has passed. It returns
// the last error.
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
