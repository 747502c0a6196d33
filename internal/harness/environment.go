// Package harness plays scenarios on sockets: partners behind loopback addresses,
// discovery and the platform's notices, clients that hand in by the plan's clock, and
// senders as processes. How partners behave, what discovery tells and when, what
// counts as service and what breaks a rule are those of packages partner, lab and
// audit: the rig has no behaviour of its own but that of sockets and processes.
package harness

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cleathold/internal/audit"
	"cleathold/internal/netfault"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// idleTimeout is how long an endpoint keeps an idle connection.
const idleTimeout = 15 * time.Second

// submissionRetention is how long an id is known after it was handed in.
const submissionRetention = 3 * time.Minute

// A Environment is all that is outside the senders. Everything in it is touched under its
// lock; its clock stands at 0 until it begins.
type Environment struct {
	plan   *scenario.Plan
	log    *slog.Logger
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu             sync.Mutex
	started        time.Time // zero: not yet
	lastEvent      time.Duration
	simulated      *simulation.Environment
	auditor        *audit.Auditor
	meter          *simulation.ServiceMeter
	sink           func(audit.Event) error
	pendingAnswers map[uint64]chan partner.Answer
	lastCallID     uint64
	connections    int
	submissions    map[string]submission
	nextSweep      time.Duration
	listeners      []map[string]*endpointListener // by sender and address
	listChanged    chan struct{}                  // closed as the list changes or discovery goes down
	wake           chan struct{}                  // the pump looks anew
	linksChanged   chan struct{}                  // closed as ways change
	discoveryCut   []bool                         // senders that discovery does not reach, nor they it
	links          *netfault.Net                  // what passes through links of it; nil: nothing does
	lag            *hdrhistogram.Histogram
	faults         Faults
	faultRNG       *rand.Rand                                          // draws which answers fail
	onReport       func(id string, deferred bool, again time.Duration) // of notices
	onDelivered    func(ids []string)
}

// submission is what the partners' side must know of a hand-in.
type submission struct {
	class int
	at    time.Duration
}

// NewEnvironment makes the world of a plan. Events go to the sink too, if there is one.
// What goes wrong in it ends its context, with the cause.
func NewEnvironment(ctx context.Context, p *scenario.Plan, log *slog.Logger, sink func(audit.Event) error) (*Environment, error) {
	w := &Environment{
		plan: p, log: log, meter: simulation.NewServiceMeter(p.Scenario), sink: sink, pendingAnswers: map[uint64]chan partner.Answer{}, submissions: map[string]submission{},
		listChanged: make(chan struct{}), linksChanged: make(chan struct{}), discoveryCut: make([]bool, p.Scenario.Senders), wake: make(chan struct{}, 1), lag: newLagHistogram(),
		faultRNG: rand.New(rand.NewPCG(p.Seed, 96)), onReport: func(string, bool, time.Duration) {}, onDelivered: func([]string) {},
	}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	set, err := simulation.Settings(p, 0, 0)
	if err != nil {
		return nil, err
	}
	w.auditor = audit.New(simulation.Rules(p, set))
	if w.simulated, err = simulation.NewEnvironment(p, w.record); err != nil {
		return nil, err
	}
	return w, nil
}

// record gives an event to all that read them; under the lock.
func (env *Environment) record(e audit.Event) {
	env.lastEvent = max(env.lastEvent, env.now())
	e.At = env.lastEvent
	err := env.auditor.Read(e)
	if err == nil {
		err = env.meter.Read(e)
	}
	if err == nil && env.sink != nil {
		err = env.sink(e)
	}
	if err != nil {
		env.cancel(err)
	}
}

// Record is note for those that do not hold the lock.
func (env *Environment) Record(e audit.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.record(e)
}

// Begin starts the clock, and what goes by it.
func (env *Environment) Begin() {
	env.mu.Lock()
	env.started = time.Now()
	if env.links != nil {
		env.links.Follow(env.linkRule(env.started))
	}
	env.mu.Unlock()
	env.wg.Go(env.advanceModel)
	env.wg.Go(env.runChanges)
	env.wg.Go(func() {
		for env.sleep(simulation.NotifiedCheckInterval) {
			env.mu.Lock()
			env.simulated.MarkNotified(env.now())
			env.mu.Unlock()
		}
	})
}

// recordSubmission enters a hand-in before its first byte leaves.
func (env *Environment) recordSubmission(e audit.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.submissions[e.Message] = submission{e.Class, env.now()}
	if now := env.now(); now >= env.nextSweep {
		for id, h := range env.submissions {
			if now-h.at > submissionRetention {
				delete(env.submissions, id)
			}
		}
		env.nextSweep = now + submissionRetention/4
	}
	env.record(e)
}

// Open is how many messages and calls are still without an end.
func (env *Environment) Open() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.auditor.Owed()
}

// Score is the service so far.
func (env *Environment) Score() simulation.Score {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.meter.Score()
}

// Close ends the world, waits for all in it, and judges what was seen.
func (env *Environment) Close() simulation.Result {
	env.cancel(context.Canceled)
	env.mu.Lock()
	for _, doors := range env.listeners {
		for _, d := range doors {
			d.close()
		}
	}
	env.mu.Unlock()
	env.wg.Wait()
	env.mu.Lock()
	defer env.mu.Unlock()
	r := simulation.Result{Scenario: env.plan.Scenario.Name, Seed: env.plan.Seed, Connections: env.connections, Overloads: env.simulated.Overloads()}
	r.Violations = env.auditor.Close(env.lastEvent)
	r.Counts, _ = env.auditor.Totals()
	r.Score = env.meter.Score()
	return r
}
