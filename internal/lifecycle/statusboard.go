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

// statusBoard is the machine together with what else a status tells: what those who run the sender see of a process.
type statusBoard struct {
	*stateMachine
	name     string
	release  string // as whoever started the process calls its version
	started  time.Time
	config   atomic.Pointer[string] // digest of the configuration in force
	counters *state.Counters
	clients  *protocol.Counters
	loop     atomic.Pointer[state.Loop] // once there is one
}

// targetsTimeout is how long a loop may take to tell its targets.
const targetsTimeout = 500 * time.Millisecond

// Targets are those that discovery lists.
func (d *statusBoard) Targets() []state.ListedTarget {
	if l := d.loop.Load(); l != nil {
		return l.ListedTargets(time.Now().Add(targetsTimeout))
	}
	return nil
}

// Status tells how the process is. It waits for nobody.
func (d *statusBoard) Status() admin.Status {
	id, is, book := d.snapshot()
	s := admin.Status{
		Name: d.name, Process: id, Pid: os.Getpid(), Phase: is.String(), Epoch: book.Epoch, Ended: book.Ended, LeaseActive: book.Active(), Until: book.Until,
		Release: d.release, Started: d.started, Counts: d.counters.Counts(), Clients: d.clients.Counts(), MemoryMB: residentMB(),
	}
	if c := d.config.Load(); c != nil {
		s.Config = *c
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
