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
	"cleathold/internal/timeline"
)

// idleSpan is how long an endpoint keeps an idle connection.
const idleSpan = 15 * time.Second

// rememberSpan is how long an id is known after it was handed in.
const rememberSpan = 3 * time.Minute

// A Environment is all that is outside the senders. Everything in it is touched under its
// lock; its clock stands at 0 until it begins.
type Environment struct {
	plan *scenario.Plan
	log  *slog.Logger
	ctx  context.Context
	end  context.CancelCauseFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	begun   time.Time // zero: not yet
	last    time.Duration
	ground  *simulation.Environment
	auditor *audit.Auditor
	tally   *simulation.ServiceMeter
	sink    func(audit.Event) error
	answers map[uint64]chan partner.Answer
	calls   uint64
	conns   int
	handed  map[string]handed
	sweepAt time.Duration
	doors   []map[string]*door // by sender and address
	bell    chan struct{}      // closed as the list changes or discovery goes down
	wake    chan struct{}      // the pump looks anew
	turn    chan struct{}      // closed as ways change
	cutOff  []bool             // senders that discovery does not reach, nor they it
	net     *netfault.Net      // what passes through links of it; nil: nothing does
	lag     *hdrhistogram.Histogram
	faults  Faults
	chance  *rand.Rand                                          // draws which answers fail
	heard   func(id string, deferred bool, again time.Duration) // of notices
	served  func(ids []string)
}

// handed is what the partners' side must know of a hand-in.
type handed struct {
	class int
	at    time.Duration
}

// Lag is how late the rig was itself, in milliseconds.
type Lag struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// newLag measures from 1 µs to 60 s.
func newLag() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), 59_999_999)) // fails only out of range
}

func lagOf(h *hdrhistogram.Histogram) Lag {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Lag{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}

// NewEnvironment makes the world of a plan. Events go to the sink too, if there is one.
// What goes wrong in it ends its context, with the cause.
func NewEnvironment(ctx context.Context, p *scenario.Plan, log *slog.Logger, sink func(audit.Event) error) (*Environment, error) {
	w := &Environment{
		plan: p, log: log, tally: simulation.NewServiceMeter(p.Scenario), sink: sink, answers: map[uint64]chan partner.Answer{}, handed: map[string]handed{},
		bell: make(chan struct{}), turn: make(chan struct{}), cutOff: make([]bool, p.Scenario.Senders), wake: make(chan struct{}, 1), lag: newLag(),
		chance: rand.New(rand.NewPCG(p.Seed, 96)), heard: func(string, bool, time.Duration) {}, served: func([]string) {},
	}
	w.ctx, w.end = context.WithCancelCause(ctx)
	set, err := simulation.Settings(p, 0, 0)
	if err != nil {
		return nil, err
	}
	w.auditor = audit.New(simulation.Rules(p, set))
	if w.ground, err = simulation.NewEnvironment(p, w.note); err != nil {
		return nil, err
	}
	return w, nil
}

// now is the time on the plan's clock.
func (w *Environment) now() time.Duration {
	if w.begun.IsZero() {
		return 0
	}
	return time.Since(w.begun)
}

// note gives an event to all that read them; under the lock.
func (w *Environment) note(e audit.Event) {
	w.last = max(w.last, w.now())
	e.At = w.last
	err := w.auditor.Read(e)
	if err == nil {
		err = w.tally.Read(e)
	}
	if err == nil && w.sink != nil {
		err = w.sink(e)
	}
	if err != nil {
		w.end(err)
	}
}

// Record is note for those that do not hold the lock.
func (w *Environment) Record(e audit.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(e)
}

// Begin starts the clock, and what goes by it.
func (w *Environment) Begin() {
	w.mu.Lock()
	w.begun = time.Now()
	if w.net != nil {
		w.net.Follow(w.rule(w.begun))
	}
	w.mu.Unlock()
	w.wg.Go(w.pump)
	w.wg.Go(w.script)
	w.wg.Go(func() {
		for w.sleep(simulation.NotifiedCheckInterval) {
			w.mu.Lock()
			w.ground.MarkNotified(w.now())
			w.mu.Unlock()
		}
	})
}

// at waits until a time on the plan's clock; false at the end of the world.
func (w *Environment) at(when time.Duration) bool {
	timer := time.NewTimer(time.Until(w.begun.Add(when)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// sleep passes a span of time; false at the end of the world.
func (w *Environment) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// pump lets the model come up to the time, whenever something happens in it.
func (w *Environment) pump() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.wake:
		case <-timer.C:
		}
		w.mu.Lock()
		w.ground.Model.Advance(w.now())
		w.deliver()
		next, some := w.ground.Model.Next()
		w.mu.Unlock()
		if some {
			timer.Reset(time.Until(w.begun.Add(next)))
		} else {
			timer.Reset(time.Hour)
		}
	}
}

// settle hands on what came of a step, and has the pump look at what comes next;
// under the lock.
func (w *Environment) settle() {
	w.deliver()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// deliver hands the model's answers on, and measures how late they are; under the
// lock.
func (w *Environment) deliver() {
	falls := w.ground.Overloads()
	for _, a := range w.ground.Collect() {
		record(w.lag, w.now()-a.At)
		if c := w.answers[a.Call]; c != nil {
			c <- a // has room for one, and gets one
			delete(w.answers, a.Call)
		}
	}
	if w.ground.Overloads() > falls {
		w.refit()
	}
}

// script does what the plan says to the endpoints, and to discovery.
func (w *Environment) script() {
	var acts timeline.Queue[func()]
	w.mu.Lock()
	for i, c := range w.plan.Changes {
		acts.Push(c.At, uint64(i), func() { w.change(c) })
	}
	for _, b := range w.plan.DiscoveryOutages {
		acts.Push(b.From, 0, w.ring)
		acts.Push(b.To, 0, w.ring)
	}
	for _, at := range w.plan.LinkChanges() {
		acts.Push(at, 0, w.turned)
	}
	w.mu.Unlock()
	for _, _, some := acts.First(); some; _, _, some = acts.First() {
		at, do := acts.Pop()
		if !w.at(at) {
			return
		}
		w.mu.Lock()
		do()
		w.mu.Unlock()
	}
}

// ring tells all who wait for news to look again; under the lock.
func (w *Environment) ring() {
	close(w.bell)
	w.bell = make(chan struct{})
}

// way is what ails the way between two parties now; under the lock.
func (w *Environment) way(from, to string) scenario.LinkState {
	return w.plan.LinkState(w.now(), from, to)
}

// turned: ways have changed; under the lock.
func (w *Environment) turned() {
	for i := range w.cutOff {
		cut := !w.way(scenario.Sender(i), scenario.Discovery).Passes() || !w.way(scenario.Discovery, scenario.Sender(i)).Passes()
		if cut == w.cutOff[i] {
			continue
		}
		w.cutOff[i] = cut
		w.note(audit.Event{Kind: map[bool]audit.EventKind{true: audit.Unreachable, false: audit.ReachableAgain}[cut], Sender: i})
		if cut {
			w.ground.Polled(w.now(), i, false, true)
		}
	}
	w.refit()
	close(w.turn)
	w.turn = make(chan struct{})
	if w.net != nil {
		w.net.Refresh()
	}
}

// UseLinks has what passes through links of a net fail as the plan says, from Begin on. Between senders datagrams take as
// long, and are lost as often, as in virtual time.
func (w *Environment) UseLinks(n *netfault.Net) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.net = n
}

// rule is what ails a way of the net. It takes no lock: the net has its own.
func (w *Environment) rule(begun time.Time) func(from, to string) netfault.State {
	senders := map[string]bool{}
	for i := range w.plan.Scenario.Senders {
		senders[scenario.Sender(i)] = true
	}
	return func(from, to string) netfault.State {
		s := netfault.State(w.plan.LinkState(time.Since(begun), from, to))
		if senders[from] && senders[to] {
			s.Loss = 1 - (1-s.Loss)*(1-w.plan.Scenario.GossipLoss)
			s.Delay, s.Jitter = s.Delay+simulation.MinGossipDelay, s.Jitter+simulation.MaxGossipDelay-simulation.MinGossipDelay
		}
		return s
	}
}

// change is a step of the plan; under the lock.
func (w *Environment) change(c scenario.Change) {
	told, err := w.ground.Apply(w.now(), c)
	if err != nil {
		w.end(err)
		return
	}
	if c.Joins != nil {
		w.moveIn(c)
	}
	w.refit()
	w.settle()
	if told != nil {
		w.ring()
	}
}

// hand enters a hand-in before its first byte leaves.
func (w *Environment) hand(e audit.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handed[e.Message] = handed{e.Class, w.now()}
	if now := w.now(); now >= w.sweepAt {
		for id, h := range w.handed {
			if now-h.at > rememberSpan {
				delete(w.handed, id)
			}
		}
		w.sweepAt = now + rememberSpan/4
	}
	w.note(e)
}

// Open is how many messages and calls are still without an end.
func (w *Environment) Open() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.auditor.Owed()
}

// Score is the service so far.
func (w *Environment) Score() simulation.Score {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tally.Score()
}

// Close ends the world, waits for all in it, and judges what was seen.
func (w *Environment) Close() simulation.Result {
	w.end(context.Canceled)
	w.mu.Lock()
	for _, doors := range w.doors {
		for _, d := range doors {
			d.shut()
		}
	}
	w.mu.Unlock()
	w.wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	r := simulation.Result{Scenario: w.plan.Scenario.Name, Seed: w.plan.Seed, Connections: w.conns, Overloads: w.ground.Overloads()}
	r.Violations = w.auditor.Close(w.last)
	r.Counts, _ = w.auditor.Totals()
	r.Score = w.tally.Score()
	return r
}
