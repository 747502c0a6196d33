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
	maxDue              = 64                     // records whose time has come, in one: each may cost a call of a rule
	maxSweep            = 256                    // records looked at for new rules, in one
	maintenanceInterval = 10 * time.Second       // the bounds are looked after this often, where nothing happens
	minRetryDelay       = 100 * time.Millisecond // after a failure of the store, doubled up to...
	maxRetryDelay       = 10 * time.Second       // ...this
	clockTolerance      = 2 * time.Second        // a clock may differ by so much from the latest time in the store
	maxPendingChanges   = 16                     // orders of the admin plane that wait
	maxPendingClaims    = 4096                   // keys handed in before the store could be asked
	reportPendingDelay  = time.Second            // until a record is looked at again whose end the platform has not heard of
	logInterval         = time.Minute            // the same failure of a rule is logged once in this time
)

// EventPoster takes events; the loop is one.
type EventPoster interface{ Post(event state.Event) }

// Config is what a keeper is built from.
type Config struct {
	Settings *settings.Settings // with a Held part
	Platform control.Settings
	Names    Names
	Log      *slog.Logger
}

// Queue is the sender's keeper of undeliverable messages. One goroutine, Run,
// writes the store; what others tell it waits in a bounded queue, and until the
// store has it, in the journal.
type Queue struct {
	log      *slog.Logger
	platform atomic.Pointer[platformSettings] // as of the latest settings
	loop     EventPoster
	work     chan struct{}
	changes  chan change

	mu              sync.Mutex
	settings        *settings.Settings
	items           []any
	newLetters      int // partings in the queue, new ones only
	failing         bool
	store           *Store // nil until it is open
	planner         *redelivery.Planner
	load            redelivery.Load
	pendingClaims   map[[2]string]bool // keys handed in while there was no store
	claimsLostUntil time.Time          // until then keys may have been handed in unseen
	logged          map[string]time.Time

	// The writer's alone.
	clock         clock
	granted       map[uint64]int // records out by this process, and their destinations
	sweepPosition uint64         // the rules have changed: held records up to here were asked
	sweeping      bool
	journalKnown  bool // the journal has told what it owes
	maintainedAt  time.Time
}

// NewQueue returns a keeper; Run opens its store.
func NewQueue(s Config) *Queue {
	k := &Queue{
		log: s.Log, settings: s.Settings, clock: newClock(),
		work: make(chan struct{}, 1), changes: make(chan change, maxPendingChanges),
		pendingClaims: map[[2]string]bool{}, logged: map[string]time.Time{}, granted: map[uint64]int{},
	}
	now := map[string]int{}
	for i, name := range s.Names.Classes {
		now[name] = i
	}
	k.platform.Store(&platformSettings{Names: Names{Tenants: s.Names.Tenants}})
	k.setPlatform(s.Names.Classes, now, s.Platform)
	k.planner = redelivery.New(k.limits(), s.Platform.Seed)
	return k
}

// Connect names the loop; before Run.
func (k *Queue) Connect(p EventPoster) { k.loop = p }

// UpdateSettings takes other settings: bounds, pace and rules. The folder stays.
func (k *Queue) UpdateSettings(s *settings.Settings) {
	k.mu.Lock()
	k.settings = s
	k.planner.SetLimits(k.limits())
	k.mu.Unlock()
	select {
	case k.changes <- change{apply: func(*Tx) error { k.sweepPosition, k.sweeping = 0, s.Rules(); return nil }, done: make(chan error, 1)}:
	default: // with that many orders waiting, the records are asked as their times come
		k.log.Warn("held: too many orders wait, the new rules ask held records later")
	}
}

// signal has the writer look at its queue.
func (k *Queue) signal() {
	select {
	case k.work <- struct{}{}:
	default:
	}
}

func (k *Queue) push(items ...any) {
	k.mu.Lock()
	k.items = append(k.items, items...)
	for _, x := range items {
		if p, ok := x.(state.DeadLetter); ok && p.Seq == 0 {
			k.newLetters++
		}
	}
	k.mu.Unlock()
	k.signal()
}

// What the loop calls. None of it waits for the store.

// Begin takes what the journal knows.
func (k *Queue) Begin(owed []string, out []uint64) { k.push(journalState{owed, out}) }

// Add takes a parting.
func (k *Queue) Add(p state.DeadLetter) { k.push(p) }

// Forget takes ids that the journal has forgotten.
func (k *Queue) Forget(ids []string) { k.push(forgotten{ids}) }

// CallEnded takes what came of a call.
func (k *Queue) CallEnded(dest int, r control.Result, wait time.Duration, again bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planner.CallEnded(k.since(), dest, partnerResult(r), wait, again)
}

// partnerResult is what a call's result tells of its partner.
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

// CapacityChanged takes what is known of the destinations.
func (k *Queue) CapacityChanged(all map[int]state.DestinationCapacity) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for dest, x := range all {
		k.planner.CapacityChanged(k.since(), dest, x.Weight, x.Ready > 0)
	}
}

// LoadChanged takes how busy the loop is.
func (k *Queue) LoadChanged(l state.LoopLoad) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.load = redelivery.Load(l)
}

// since is the planner's clock.
func (k *Queue) since() time.Duration { return time.Since(k.clock.start) }

// Accepts asks the rule hold. Where the store fails, or its queue is full, nothing
// is held: the message ends as it would without a store.
func (k *Queue) Accepts(p *state.DeadLetter) bool {
	k.mu.Lock()
	full := k.failing || k.newLetters >= k.settings.Held.Queue
	set, words := k.settings, k.platform.Load()
	partner := k.partner(p.Message.Destination)
	k.mu.Unlock()
	if full {
		k.warnOnce("held: not held, as the store fails or its queue is full")
		return false
	}
	ran := false
	for _, t := range p.Attempts {
		ran = ran || t.Open || t.Result.MayHaveRun()
	}
	hold, err := set.Hold(settings.Record{
		ID: p.Message.ID, Key: p.Message.Key, Class: nameAt(words.Classes, p.Message.Class), Tenant: nameAt(words.Tenants, p.Message.Tenant),
		Destination: p.Message.Destination, Size: len(p.Message.Body), Reason: p.Reason, MayHaveRun: ran, Deferred: p.Deferred,
		Attempts: p.AttemptCount, TimeLeft: max(0, p.Message.Deadline.Sub(p.At)),
	}, partner)
	if err != nil {
		k.warnOnce("held: the rule hold failed", "err", err.Error())
	}
	return hold
}

// partner is a destination as rules see it; under the mutex.
func (k *Queue) partner(dest int) settings.Partner {
	v := k.planner.View(k.since(), dest)
	p := settings.Partner{InFlight: v.InFlight, Failing: v.Failing, Served: v.Served, RetryAfter: v.RetryAfter}
	if v.Known {
		p.Last = map[redelivery.Result]string{redelivery.Served: "served", redelivery.Rejected: "refused", redelivery.Failed: "failed"}[v.Last]
	}
	if k.store != nil {
		p.Held = k.store.Count(dest)
	}
	return p
}

// warnOnce logs the same thing once in a while.
func (k *Queue) warnOnce(text string, args ...any) {
	id := text
	for _, a := range args {
		if s, ok := a.(string); ok {
			id += s
		}
	}
	now := time.Now()
	k.mu.Lock()
	last, known := k.logged[id]
	speak := !known || now.Sub(last) >= logInterval
	if len(k.logged) > 256 {
		clear(k.logged)
	}
	if speak {
		k.logged[id] = now
	}
	k.mu.Unlock()
	if speak {
		k.log.Warn(text, args...)
	}
}
