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

// submissionClassRetention is how long the class of a message is kept after its submission.
const submissionClassRetention = 3 * time.Minute

// An Environment contains everything outside the senders: endpoints, discovery, links, the auditor and the service
// meter. The fields below mu are protected by it. The plan's clock is at 0 until Begin.
type Environment struct {
	plan   *scenario.Plan
	log    *slog.Logger
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu                  sync.Mutex
	started             time.Time     // zero before Begin
	lastEvent           time.Duration // time of the latest event; times of events never decrease
	simulated           *simulation.Environment
	auditor             *audit.Auditor
	meter               *simulation.ServiceMeter
	sink                func(audit.Event) error
	pendingAnswers      map[uint64]chan partner.Answer // by call id; each channel receives at most one answer
	lastCallID          uint64
	connections         int
	submissions         map[string]submission // by message id
	nextSubmissionSweep time.Duration
	listeners           []map[string]*endpointListener // by sender and address
	listChanged         chan struct{}                  // closed and replaced when the list or discovery's state changes
	wake                chan struct{}                  // makes advanceModel check the model for its next event
	linksChanged        chan struct{}                  // closed and replaced when links change
	discoveryCut        []bool                         // by sender: its link to or from discovery passes no data
	agentVersions       []int64                        // by sender: list version of which its agent notified it
	links               *netfault.Net                  // nil if no proxied links are used
	lag                 *hdrhistogram.Histogram
	heldLists           []knownList // by sender: as of its last complete answer; see Faults.HeldLists
	faults              Faults
	faultRNG            *rand.Rand                                               // decides which discovery answers fail
	onReport            func(id string, deferred bool, retryAfter time.Duration) // called for each delivery report
	onDelivered         func(ids []string)                                       // called for each call that was delivered
}

// A submission is the information about a submitted message that its calls do not contain.
type submission struct {
	class int
	at    time.Duration
}

// NewEnvironment returns the environment of a plan. If sink is not nil, it is called for each event. A failure in the
// environment cancels its context, with the failure as the cause. The caller must call Close.
func NewEnvironment(
	ctx context.Context, p *scenario.Plan, log *slog.Logger, sink func(audit.Event) error,
) (*Environment, error) {
	env := &Environment{
		plan: p, log: log, sink: sink,
		meter:          simulation.NewServiceMeter(p.Scenario),
		pendingAnswers: map[uint64]chan partner.Answer{},
		submissions:    map[string]submission{},
		listChanged:    make(chan struct{}),
		wake:           make(chan struct{}, 1),
		linksChanged:   make(chan struct{}),
		discoveryCut:   make([]bool, p.Scenario.Senders),
		agentVersions:  make([]int64, p.Scenario.Senders),
		heldLists:      make([]knownList, p.Scenario.Senders),
		lag:            newLagHistogram(),
		faultRNG:       rand.New(rand.NewPCG(p.Seed, 96)),
		onReport:       func(string, bool, time.Duration) {},
		onDelivered:    func([]string) {},
	}
	env.ctx, env.cancel = context.WithCancelCause(ctx)
	settings, err := simulation.Settings(p, 0, 0)
	if err != nil {
		return nil, err
	}
	env.auditor = audit.New(simulation.Rules(p, settings))
	if env.simulated, err = simulation.NewEnvironment(p, env.record); err != nil {
		return nil, err
	}
	return env, nil
}

// record passes an event to the auditor, the service meter and the sink. An error of any of them ends the run. The
// caller must hold env.mu.
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

// Record passes an event to the auditor, the service meter and the sink. An error of any of them ends the run.
func (env *Environment) Record(e audit.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.record(e)
}

// Begin starts the plan's clock and the goroutines that run by it. They end with the context; Close waits for them.
func (env *Environment) Begin() {
	env.mu.Lock()
	env.started = time.Now()
	if env.links != nil {
		env.links.SetRule(env.linkRule(env.started))
	}
	env.mu.Unlock()
	if env.plan.Scenario.Settings.PushedLists {
		env.wg.Go(env.runAgents)
	}
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

// recordSubmission records that a client submits a message. It is called before the first byte is sent, since the
// message may reach an endpoint before the write returns.
func (env *Environment) recordSubmission(e audit.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.submissions[e.Message] = submission{e.Class, env.now()}
	if now := env.now(); now >= env.nextSubmissionSweep {
		for id, s := range env.submissions {
			if now-s.at > submissionClassRetention {
				delete(env.submissions, id)
			}
		}
		env.nextSubmissionSweep = now + submissionClassRetention/4
	}
	env.record(e)
}

// OpenCount returns the number of messages and calls that have no outcome yet.
func (env *Environment) OpenCount() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.auditor.Owed()
}

// Score returns the service score so far.
func (env *Environment) Score() simulation.Score {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.meter.Score()
}

// Close stops all servers and goroutines of the environment, and returns the result of the audit and the service score.
func (env *Environment) Close() simulation.Result {
	env.cancel(context.Canceled)
	env.mu.Lock()
	for _, byAddress := range env.listeners {
		for _, l := range byAddress {
			l.close()
		}
	}
	env.mu.Unlock()
	env.wg.Wait()
	env.mu.Lock()
	defer env.mu.Unlock()
	r := simulation.Result{
		Scenario: env.plan.Scenario.Name, Seed: env.plan.Seed,
		Connections: env.connections, Overloads: env.simulated.Overloads(),
	}
	r.Violations = env.auditor.Close(env.lastEvent)
	r.Counts, _ = env.auditor.Totals()
	r.Score = env.meter.Score()
	return r
}
