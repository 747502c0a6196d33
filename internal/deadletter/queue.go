package deadletter

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/redelivery"
	"cleathold/internal/settings"
	"cleathold/internal/state"
)

const (
	maxBatch            = 256                    // items in one transaction
	maxDueRecords       = 64                     // records due in one transaction; each may cost the call of a rule
	maxSweepRecords     = 256                    // records scheduled for review by new rules, in one transaction
	maintenanceInterval = 10 * time.Second       // the longest time between two checks of the bounds
	minRetryDelay       = 100 * time.Millisecond // after a failure of the store, doubled up to...
	maxRetryDelay       = 10 * time.Second       // ...this
	clockTolerance      = 2 * time.Second        // the clock may be behind the latest time in the store by this much
	maxPendingChanges   = 16                     // changes that wait for the writer
	maxPendingClaims    = 4096                   // keys submitted before the store was open
	reportPendingDelay  = time.Second            // until a record is due again whose delivery report is not acknowledged
	logInterval         = time.Minute            // the same warning is logged once in this time
)

// EventPoster takes events; the event loop is one.
type EventPoster interface{ Post(event state.Event) }

// Config is the configuration of a queue.
type Config struct {
	Settings *settings.Settings // its Held part must be set
	Platform control.Settings
	Names    Names
	Log      *slog.Logger
}

// Queue is the dead-letter queue of a sender. The goroutine of Run alone writes the store. What other goroutines
// report waits in a bounded list, and in the write-ahead log until the store has it.
type Queue struct {
	log      *slog.Logger
	platform atomic.Pointer[platformSettings] // the latest settings
	loop     EventPoster
	wake     chan struct{}
	changes  chan change

	mu              sync.Mutex
	settings        *settings.Settings
	items           []item
	newDeadLetters  int // dead letters among the items that are new to the store
	failing         bool
	store           *Store // nil until it is open
	planner         *redelivery.Planner
	load            redelivery.Load
	pendingClaims   map[[2]string]bool // by class and key: submitted while the store was not open
	claimsLostUntil time.Time          // until then keys may have been submitted that are not in pendingClaims
	lastWarned      map[string]time.Time

	// Owned by the goroutine of Run.
	clock         clock
	granted       map[uint64]int // destinations of the records that this process is redelivering, by sequence
	sweepPosition uint64         // after a change of rules: held records up to here are scheduled for review
	sweeping      bool
	walStateKnown bool // the state of the write-ahead log is known
	maintainedAt  time.Time
}

// NewQueue returns a queue. Connect must be called next, then Run, which opens the store.
func NewQueue(config Config) *Queue {
	q := &Queue{
		log: config.Log, settings: config.Settings, clock: newClock(),
		wake: make(chan struct{}, 1), changes: make(chan change, maxPendingChanges),
		pendingClaims: map[[2]string]bool{}, lastWarned: map[string]time.Time{}, granted: map[uint64]int{},
	}
	numbers := map[string]int{}
	for i, name := range config.Names.Classes {
		numbers[name] = i
	}
	q.platform.Store(&platformSettings{Names: Names{Tenants: config.Names.Tenants}})
	q.setPlatform(config.Names.Classes, numbers, config.Platform)
	q.planner = redelivery.New(q.limits(), config.Platform.Seed)
	return q
}

// Connect sets the event loop. It must be called before Run.
func (q *Queue) Connect(loop EventPoster) { q.loop = loop }

// UpdateSettings changes bounds, rates and rules. The folder stays.
func (q *Queue) UpdateSettings(s *settings.Settings) {
	q.mu.Lock()
	q.settings = s
	q.planner.SetLimits(q.limits())
	q.mu.Unlock()
	select {
	case q.changes <- change{apply: func(*Tx) error { q.sweepPosition, q.sweeping = 0, s.Rules(); return nil },
		done: make(chan error, 1)}:
	default: // records are reviewed as they become due
		q.log.Warn("too many changes pending, held records are reviewed by the new rules later")
	}
}

// signal wakes the writer.
func (q *Queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// push adds an item for the writer.
func (q *Queue) push(x item) {
	q.mu.Lock()
	q.items = append(q.items, x)
	if isNew(x) {
		q.newDeadLetters++
	}
	q.mu.Unlock()
	q.signal()
}

// isNew reports whether an item is a dead letter that is new to the store.
func isNew(x item) bool {
	letter, ok := x.(deadLetterItem)
	return ok && letter.Seq == 0
}

// The methods below implement state.DeadLetterQueue. None of them waits for the store.

// Begin takes the state of the write-ahead log at the start: the ids of messages owed to the queue, and the records
// in redelivery.
func (q *Queue) Begin(pendingReports []string, inFlight []uint64) {
	q.push(walState{pendingReports, inFlight})
}

// Add takes a dead letter, or the end of a redelivery.
func (q *Queue) Add(letter state.DeadLetter) { q.push(deadLetterItem(letter)) }

// Forget takes ids that the write-ahead log has forgotten.
func (q *Queue) Forget(ids []string) { q.push(forgottenIDs{ids}) }

// CallEnded learns from the end of a call.
func (q *Queue) CallEnded(dest int, result control.Result, retryAfter time.Duration, isRedelivery bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.planner.CallEnded(q.plannerTime(), dest, partnerResult(result), retryAfter, isRedelivery)
}

// partnerResult converts the result of a call to what it says of the partner.
func partnerResult(result control.Result) redelivery.Result {
	switch result {
	case control.Served, control.Unprocessable: // the partner was there
		return redelivery.Served
	case control.Rejected, control.ConnectionRejected:
		return redelivery.Rejected
	case control.NotSent:
		return redelivery.NotSent
	}
	return redelivery.Failed
}

// CapacityChanged takes the capacity of destinations.
func (q *Queue) CapacityChanged(capacities map[int]state.DestinationCapacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for dest, capacity := range capacities {
		q.planner.CapacityChanged(q.plannerTime(), dest, capacity.Weight, capacity.Ready > 0)
	}
}

// LoadChanged takes the load of the event loop.
func (q *Queue) LoadChanged(load state.LoopLoad) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.load = redelivery.Load(load)
}

// plannerTime returns the time of the planner.
func (q *Queue) plannerTime() time.Duration { return time.Since(q.clock.start) }

// Accepts asks the rule hold whether a message becomes a dead letter. While the store fails or too many dead letters
// wait, none does.
func (q *Queue) Accepts(letter *state.DeadLetter) bool {
	q.mu.Lock()
	full := q.failing || q.newDeadLetters >= q.settings.Held.Queue
	current, platform := q.settings, q.platform.Load()
	partner := q.partner(letter.Message.Destination)
	q.mu.Unlock()
	if full {
		q.warnRateLimited("dead letter not accepted: the store fails or its queue is full")
		return false
	}
	mayHaveRun := false
	for _, attempt := range letter.Attempts {
		mayHaveRun = mayHaveRun || attempt.Open || attempt.Result.MayHaveRun()
	}
	hold, err := current.Hold(settings.Record{
		ID: letter.Message.ID, Key: letter.Message.Key, Class: nameAt(platform.Classes, letter.Message.Class),
		Tenant:      nameAt(platform.Tenants, letter.Message.Tenant),
		Destination: letter.Message.Destination, Size: len(letter.Message.Body), Reason: letter.Reason,
		MayHaveRun: mayHaveRun, Deferred: letter.Deferred,
		Attempts: letter.AttemptCount, TimeLeft: max(0, letter.Message.Deadline.Sub(letter.At)),
	}, partner)
	if err != nil {
		q.warnRateLimited("rule hold failed", "err", err.Error())
	}
	return hold
}

// partner returns a destination as rules see it. The mutex must be held.
func (q *Queue) partner(destination int) settings.Partner {
	status := q.planner.Status(q.plannerTime(), destination)
	p := settings.Partner{InFlight: status.InFlight, Failing: status.FailingFor, Served: status.SinceServed,
		RetryAfter: status.RetryAfter}
	if status.HasResult {
		p.Last = map[redelivery.Result]string{redelivery.Served: "served", redelivery.Rejected: "refused",
			redelivery.Failed: "failed"}[status.LastResult]
	}
	if q.store != nil {
		p.Held = q.store.Count(destination)
	}
	return p
}

// warnRateLimited logs a warning unless the same one was logged lately.
func (q *Queue) warnRateLimited(text string, args ...any) {
	key := text
	for _, a := range args {
		if s, ok := a.(string); ok {
			key += s
		}
	}
	now := time.Now()
	q.mu.Lock()
	last, known := q.lastWarned[key]
	due := !known || now.Sub(last) >= logInterval
	if len(q.lastWarned) > 256 {
		clear(q.lastWarned)
	}
	if due {
		q.lastWarned[key] = now
	}
	q.mu.Unlock()
	if due {
		q.log.Warn(text, args...)
	}
}
