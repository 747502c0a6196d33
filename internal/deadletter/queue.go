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
	maxBatch            = 256                    // items written in one transaction
	maxDueRecords       = 64                     // due records in one transaction; each may cost a rule evaluation
	maxSweepRecords     = 256                    // records scheduled for review in one transaction by new rules
	maintenanceInterval = 10 * time.Second       // the longest interval between two checks of the bounds
	minRetryDelay       = 100 * time.Millisecond // after a store failure; doubled after each further one
	maxRetryDelay       = 10 * time.Second       // limit of the doubled delay
	clockTolerance      = 2 * time.Second        // tolerated lag of the wall clock behind the latest time in the store
	maxPendingChanges   = 16                     // changes queued for the writer
	maxPendingClaims    = 4096                   // keys claimed while the store was not open
	reportPendingDelay  = time.Second            // review interval while the delivery report is not acknowledged
	logInterval         = time.Minute            // the same warning is logged at most once per interval
)

// EventPoster receives events for the event loop.
type EventPoster interface{ Post(event state.Event) }

// Config configures a Queue.
type Config struct {
	Settings *settings.Settings // DeadLetterQueue must be set
	Platform control.Settings
	Names    Names
	Log      *slog.Logger
}

// Queue is the dead-letter queue of a sender. Only the goroutine of Run writes to the store. Reports of other
// goroutines are kept in a bounded list, and in the write-ahead log until they are stored.
type Queue struct {
	log      *slog.Logger
	platform atomic.Pointer[platformSettings] // the latest settings
	loop     EventPoster
	wake     chan struct{}
	changes  chan change

	mu              sync.Mutex
	settings        *settings.Settings
	items           []item
	newDeadLetters  int // new dead letters in items, without ends of redeliveries
	failing         bool
	store           *Store // nil until it is open
	planner         *redelivery.Planner
	load            redelivery.Load
	pendingClaims   map[[2]string]bool // by class and key: claimed while the store was not open
	claimsLostUntil time.Time          // claims before this time may be missing from pendingClaims
	lastWarned      map[string]time.Time

	// Owned by the goroutine of Run.
	clock         clock
	granted       map[uint64]int // destinations of records that this process is redelivering, by sequence number
	sweepPosition uint64         // held records up to here have been scheduled for review after a change of rules
	sweeping      bool
	walStateKnown bool // Begin has reported the state of the write-ahead log
	maintainedAt  time.Time
}

// NewQueue returns a queue whose store is not open yet. The caller must call Connect, and then Run, which opens the
// store.
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

// UpdateSettings applies new bounds, rates and rules. A change of the folder has no effect while the store is open.
func (q *Queue) UpdateSettings(s *settings.Settings) {
	q.mu.Lock()
	q.settings = s
	q.planner.SetLimits(q.limits())
	q.mu.Unlock()
	select {
	case q.changes <- change{apply: func(*Tx) error { q.sweepPosition, q.sweeping = 0, s.HasAfterRule(); return nil },
		done: make(chan error, 1)}:
	default: // records are still reviewed by the new rules when they become due
		q.log.Warn("too many pending changes; the new rules apply to held records at their next review")
	}
}

// signal wakes up the writer.
func (q *Queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// push queues an item for the writer.
func (q *Queue) push(x item) {
	q.mu.Lock()
	q.items = append(q.items, x)
	if isNew(x) {
		q.newDeadLetters++
	}
	q.mu.Unlock()
	q.signal()
}

// isNew reports whether an item is a new dead letter, and not the end of a redelivery.
func isNew(x item) bool {
	letter, ok := x.(deadLetterItem)
	return ok && letter.Seq == 0
}

// The methods below implement state.DeadLetterQueue. None of them blocks on the store.

// Begin reports the state of the write-ahead log at the start: the ids of the dead letters that it still contains, and
// the sequence numbers of the records in redelivery.
func (q *Queue) Begin(pendingReports []string, inFlight []uint64) {
	q.push(walState{pendingReports, inFlight})
}

// Add queues a dead letter, or the end of a redelivery, for the store.
func (q *Queue) Add(letter state.DeadLetter) { q.push(deadLetterItem(letter)) }

// Forget reports ids of messages that the write-ahead log no longer contains.
func (q *Queue) Forget(ids []string) { q.push(forgottenIDs{ids}) }

// CallEnded reports the end of a call to the planner.
func (q *Queue) CallEnded(dest int, result control.Result, retryAfter time.Duration, isRedelivery bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.planner.CallEnded(q.plannerTime(), dest, partnerResult(result), retryAfter, isRedelivery)
}

// partnerResult converts the result of a call to the planner's view of the partner.
func partnerResult(result control.Result) redelivery.Result {
	switch result {
	case control.Served, control.Unprocessable: // the partner responded
		return redelivery.Served
	case control.Rejected, control.RejectedUnexplained, control.ConnectionRejected:
		return redelivery.Rejected
	case control.NotSent:
		return redelivery.NotSent
	}
	return redelivery.Failed
}

// CapacityChanged reports the capacity of destinations.
func (q *Queue) CapacityChanged(capacities map[int]state.DestinationCapacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for dest, capacity := range capacities {
		q.planner.CapacityChanged(q.plannerTime(), dest, capacity.Weight, capacity.Ready > 0)
	}
}

// LoadChanged reports the load of the event loop.
func (q *Queue) LoadChanged(load state.LoopLoad) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.load = redelivery.Load(load)
}

// plannerTime returns the current time of the planner, which is the time since the queue was created.
func (q *Queue) plannerTime() time.Duration { return time.Since(q.clock.start) }

// Accepts reports whether a message becomes a dead letter, which the rule "hold" decides. It returns false while the
// store is failing or too many dead letters wait to be written.
func (q *Queue) Accepts(letter *state.DeadLetter) bool {
	q.mu.Lock()
	full := q.failing || q.newDeadLetters >= q.settings.DeadLetterQueue.MaxQueued
	current, platform := q.settings, q.platform.Load()
	partner := q.partner(letter.Message.Destination)
	q.mu.Unlock()
	if full {
		q.warnRateLimited("dead letter not accepted: the store is failing or its queue is full")
		return false
	}
	mayHaveRun := false
	for _, attempt := range letter.Attempts {
		mayHaveRun = mayHaveRun || attempt.Open || attempt.Result.MayHaveRun()
	}
	hold, err := current.ShouldHold(settings.Record{
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

// partner returns the attributes of a destination for the rules. The caller must hold q.mu.
func (q *Queue) partner(destination int) settings.Partner {
	status := q.planner.Status(q.plannerTime(), destination)
	p := settings.Partner{InFlight: status.InFlight, Failing: status.FailingFor, Served: status.SinceServed,
		RetryAfter: status.RetryAfter}
	if status.HasResult {
		p.Last = map[redelivery.Result]string{redelivery.Served: "served", redelivery.Rejected: "refused",
			redelivery.Failed: "failed"}[status.LastResult]
	}
	if q.store != nil {
		p.DeadLetters = q.store.Count(destination)
	}
	return p
}

// warnRateLimited logs a warning at most once per logInterval. Warnings are equal if their text and string arguments
// are.
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
