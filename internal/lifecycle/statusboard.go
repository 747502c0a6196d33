package lifecycle

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// targetsTimeout is how long a loop may take to list its targets.
const targetsTimeout = 500 * time.Millisecond

// A statusBoard is what the operators see of a process, and the state machine that takes their orders.
type statusBoard struct {
	*stateMachine
	name     string
	release  string // as whoever started the process calls its version
	started  time.Time
	config   atomic.Pointer[string] // digest of the configuration in force
	counters *state.Counters
	clients  *protocol.Counters
	loop     atomic.Pointer[state.Loop] // nil during the start
}

// Targets are those that discovery lists; nil during the start, or if the loop does not answer in time.
func (b *statusBoard) Targets() []state.ListedTarget {
	if l := b.loop.Load(); l != nil {
		return l.ListedTargets(time.Now().Add(targetsTimeout))
	}
	return nil
}

// Status tells how the process is. It waits for nothing.
func (b *statusBoard) Status() admin.Status {
	id, phase, lease := b.snapshot()
	s := admin.Status{
		Name: b.name, Process: id, Pid: os.Getpid(), Phase: phase.String(),
		Epoch: lease.Epoch, Ended: lease.Ended, LeaseActive: lease.Active(), Until: lease.Until,
		Release: b.release, Started: b.started, Counts: b.counters.Counts(), Clients: b.clients.Counts(),
		MemoryMB: residentMB(),
	}
	if digest := b.config.Load(); digest != nil {
		s.Config = *digest
	}
	return s
}

// residentMB is the memory of this process, in MB; 0 where the system does not tell.
func residentMB() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
