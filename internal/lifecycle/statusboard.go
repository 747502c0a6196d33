package lifecycle

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/connbudget"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// targetsTimeout bounds the time for the event loop to list its targets.
const targetsTimeout = 500 * time.Millisecond

// A statusBoard implements admin.Lifecycle: it reports the status of a process and passes orders to its state machine.
type statusBoard struct {
	*stateMachine
	name      string
	release   string // release name given by the environment at start
	started   time.Time
	config    atomic.Pointer[string] // digest of the configuration in force
	counters  *state.Counters
	clients   *protocol.Counters
	endpoints *protocol.TransportCounters

	clientBudget *connbudget.Budget

	loop atomic.Pointer[state.Loop] // nil during the start
}

// Targets returns the targets on discovery's list. It returns nil during the start, or if the event loop does not
// answer in time.
func (b *statusBoard) Targets() []state.ListedTarget {
	if l := b.loop.Load(); l != nil {
		return l.ListedTargets(time.Now().Add(targetsTimeout))
	}
	return nil
}

// Status returns the status of the process. It does not wait for the event loop.
func (b *statusBoard) Status() admin.DetailedStatus {
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
	return admin.DetailedStatus{
		Status: s, Endpoints: b.endpoints.Counts(), ClientBudget: b.clientBudget.Use(), Abandoned: b.clients.Abandoned(),
	}
}

// residentMB returns the resident memory of this process in MB, or 0 if it can't be determined.
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
