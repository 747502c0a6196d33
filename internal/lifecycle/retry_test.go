package lifecycle

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// A transient error is retried until it is over, or the time is up; any other error ends at once.
func TestRetry(t *testing.T) {
	permanent := errors.New("odd")
	for _, c := range []struct {
		name     string
		err      error
		fails    int
		attempts int
		want     error
	}{
		{"nothing wrong", nil, 0, 1, nil},
		{"a disk that is full for a moment", fmt.Errorf("journal: %w", syscall.ENOSPC), 2, 3, nil},
		{"no descriptor for a moment", &net.OpError{Op: "listen", Err: syscall.ENFILE}, 1, 2, nil},
		{"what does not pass", permanent, 1, 1, permanent},
		{"what does not pass in time", syscall.EIO, 1000, 0, syscall.EIO},
	} {
		attempts := 0
		got, err := retry(slog.New(slog.DiscardHandler), c.name, 4*retryInterval, func() (int, error) {
			if attempts++; attempts <= c.fails {
				return 0, c.err
			}
			return 7, nil
		})
		if !errors.Is(err, c.want) || err == nil && got != 7 || c.attempts > 0 && attempts != c.attempts || attempts > 6 {
			t.Errorf("%s: %d, %v after %d attempts", c.name, got, err, attempts)
		}
	}
	if startTimeout+2*time.Second > 10*time.Second {
		t.Error("a sender is to be ready within 10 s")
	}
}

// A stop counts from its signal, also where the process is busy then, as with a reload; of several signals the first
// counts.
func TestStopTimeIsSignalTime(t *testing.T) {
	signals := make(chan os.Signal, 4)
	signaledAt := stopTimes(t.Context(), signals)
	sentAt := time.Now()
	signals <- syscall.SIGTERM
	time.Sleep(300 * time.Millisecond) // busy
	signals <- syscall.SIGINT
	time.Sleep(50 * time.Millisecond)
	if delay := (<-signaledAt).Sub(sentAt); delay > 200*time.Millisecond {
		t.Errorf("counted from %v after the signal", delay)
	}
}
