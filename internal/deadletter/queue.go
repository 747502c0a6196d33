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
	maxDue              = 64                     // records due in one transaction; each may cost the call of a rule
	maxSweep            = 256                    // records scheduled for review by new rules, in one transaction
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
	work     chan struct{}
	changes  chan change

	mu              sync.Mutex
	settings        *settings.Settings
	items           []item
	newLetters      int // dead letters among the items that are new to the store
	failing         bool
	store           *Store // nil until it is open
	planner         *redelivery.Planner
	load            redelivery.Load
	pendingClaims   map[[2]string]bool // by class and key: submitted while the store was not open
	claimsLostUntil time.Time          // until then keys may have been submitted that are not in pendingClaims
	logged          map[string]time.Time

	// Owned by the goroutine of Run.
	clock         clock
	granted       map[uint64]int // destinations of the records that this process is redelivering, by sequence
	sweepPosition uint64         // after a change of rules: held records up to here are scheduled for review
	sweeping      bool
	journalKnown  bool // the state of the write-ahead log is known
	maintainedAt  time.Time
}

// NewQueue returns a queue. Connect must be called next, then Run, which opens the store.
func NewQueue(s Config) *Queue {
	q := &Queue{
		log: s.Log, settings: s.Settings, clock: newClock(),
		work: make(chan struct{}, 1), changes: make(chan change, maxPendingChanges),
		pendingClaims: map[[2]string]bool{}, logged: map[string]time.Time{}, granted: map[uint64]int{},
	}
	now := map[string]int{}
	for i, name := range s.Names.Classes {
		now[name] = i
	}
	q.platform.Store(&platformSettings{Names: Names{Tenants: s.Names.Tenants}})
	q.setPlatform(s.Names.Classes, now, s.Platform)
	q.planner = redelivery.New(q.limits(), s.Platform.Seed)
	return q
}

// Connect sets the event loop. It must be called before Run.
func (q *Queue) Connect(p EventPoster) { q.loop = p }

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
	case q.work <- struct{}{}:
	default:
	}
}

// push adds an item for the writer.
func (q *Queue) push(x item) {
	q.mu.Lock()
	q.items = append(q.items, x)
	if isNew(x) {
		q.newLetters++
	}
	q.mu.Unlock()
	q.signal()
}

// isNew reports whether an item is a dead letter that is new to the store.
func isNew(x item) bool {
	letter, ok := x.(newLetter)
	return ok && letter.Seq == 0
}

// The methods below implement state.DeadLetterQueue. None of them waits for the store.

// Begin takes the state of the write-ahead log at the start: the ids of messages owed to the queue, and the records
// in redelivery.
func (q *Queue) Begin(owed []string, out []uint64) { q.push(journalState{owed, out}) }

// Add takes a dead letter, or the end of a redelivery.
func (q *Queue) Add(p state.DeadLetter) { q.push(newLetter(p)) }

// Forget takes ids that the write-ahead log has forgotten.
func (q *Queue) Forget(ids []string) { q.push(forgotten{ids}) }

// CallEnded learns from the end of a call.
func (q *Queue) CallEnded(dest int, r control.Result, wait time.Duration, again bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.planner.CallEnded(q.since(), dest, partnerResult(r), wait, again)
}

// partnerResult converts the result of a call to what it says of the partner.
func partnerResult(r control.Result) redelivery.Result {
	switch r {
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
func (q *Queue) CapacityChanged(all map[int]state.DestinationCapacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for dest, x := range all {
		q.planner.CapacityChanged(q.since(), dest, x.Weight, x.Ready > 0)
	}
}

// LoadChanged takes the load of the event loop.
func (q *Queue) LoadChanged(l state.LoopLoad) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.load = redelivery.Load(l)
}

// since returns the time of the planner.
func (q *Queue) since() time.Duration { return time.Since(q.clock.start) }

// Accepts asks the rule hold whether a message becomes a dead letter. While the store fails or too many dead letters
// wait, none does.
func (q *Queue) Accepts(letter *state.DeadLetter) bool {
	q.mu.Lock()
	full := q.failing || q.newLetters >= q.settings.Held.Queue
	set, words := q.settings, q.platform.Load()
	partner := q.partner(letter.Message.Destination)
	q.mu.Unlock()
	if full {
		q.warnOnce("dead letter not accepted: the store fails or its queue is full")
		return false
	}
	mayHaveRun := false
	for _, t := range letter.Attempts {
		mayHaveRun = mayHaveRun || t.Open || t.Result.MayHaveRun()
	}
	hold, err := set.Hold(settings.Record{
		ID: letter.Message.ID, Key: letter.Message.Key, Class: nameAt(words.Classes, letter.Message.Class),
		Tenant:      nameAt(words.Tenants, letter.Message.Tenant),
		Destination: letter.Message.Destination, Size: len(letter.Message.Body), Reason: letter.Reason,
		MayHaveRun: mayHaveRun, Deferred: letter.Deferred,
		Attempts: letter.AttemptCount, TimeLeft: max(0, letter.Message.Deadline.Sub(letter.At)),
	}, partner)
	if err != nil {
		q.warnOnce("rule hold failed", "err", err.Error())
	}
	return hold
}

// partner returns a destination as rules see it. The mutex must be held.
func (q *Queue) partner(dest int) settings.Partner {
	v := q.planner.View(q.since(), dest)
	p := settings.Partner{InFlight: v.InFlight, Failing: v.Failing, Served: v.Served, RetryAfter: v.RetryAfter}
	if v.Known {
		p.Last = map[redelivery.Result]string{redelivery.Served: "served", redelivery.Rejected: "refused",
			redelivery.Failed: "failed"}[v.Last]
	}
	if q.store != nil {
		p.Held = q.store.Count(dest)
	}
	return p
}

// warnOnce logs a warning unless the same one was logged lately.
func (q *Queue) warnOnce(text string, args ...any) {
	id := text
	for _, a := range args {
		if s, ok := a.(string); ok {
			id += s
		}
	}
	now := time.Now()
	q.mu.Lock()
	last, known := q.logged[id]
	due := !known || now.Sub(last) >= logInterval
	if len(q.logged) > 256 {
		clear(q.logged)
	}
	if due {
		q.logged[id] = now
	}
	q.mu.Unlock()
	if due {
		q.log.Warn(text, args...)
	}
}
