package harness

import (
	"time"

	"cleathold/internal/scenario"
	"cleathold/internal/timeline"
)

// advanceModel advances the model in step with the plan's clock until the run ends. It wakes up for the model's next
// event, and when a call may have scheduled an earlier event.
func (env *Environment) advanceModel() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-env.ctx.Done():
			return
		case <-env.wake:
		case <-timer.C:
		}
		env.mu.Lock()
		env.simulated.Model.Advance(env.now())
		env.dispatchAnswers()
		next, ok := env.simulated.Model.Next()
		env.mu.Unlock()
		if ok {
			timer.Reset(time.Until(env.started.Add(next)))
		} else {
			timer.Reset(time.Hour)
		}
	}
}

// dispatchAndWake dispatches the answers after a step of the model, and makes advanceModel check for the next event.
// The caller must hold env.mu.
func (env *Environment) dispatchAndWake() {
	env.dispatchAnswers()
	select {
	case env.wake <- struct{}{}:
	default:
	}
}

// dispatchAnswers passes the model's answers to the waiting calls and records the answers' lag. The caller must hold
// env.mu.
func (env *Environment) dispatchAnswers() {
	overloads := env.simulated.Overloads()
	for _, a := range env.simulated.Collect() {
		recordLag(env.lag, env.now()-a.At)
		if c := env.pendingAnswers[a.Call]; c != nil {
			c <- a // never blocks: the channel has a buffer for the call's only answer
			delete(env.pendingAnswers, a.Call)
		}
	}
	if env.simulated.Overloads() > overloads {
		env.updateListeners()
	}
}

// runChanges applies the plan's changes of endpoints, discovery and links at their times.
func (env *Environment) runChanges() {
	var changes timeline.Queue[func()]
	env.mu.Lock()
	for i, c := range env.plan.Changes {
		changes.Push(c.At, uint64(i), func() { env.applyChange(c) })
	}
	for _, outage := range env.plan.DiscoveryOutages {
		changes.Push(outage.From, 0, env.notifyListChanged)
		changes.Push(outage.To, 0, env.notifyListChanged)
	}
	for _, at := range env.plan.LinkChanges() {
		changes.Push(at, 0, env.updateLinks)
	}
	env.mu.Unlock()
	for _, _, ok := changes.First(); ok; _, _, ok = changes.First() {
		at, apply := changes.Pop()
		if !env.sleepUntil(at) {
			return
		}
		env.mu.Lock()
		apply()
		env.mu.Unlock()
	}
}

// applyChange applies one change of the plan to the model and the listeners. The caller must hold env.mu.
func (env *Environment) applyChange(c scenario.Change) {
	update, err := env.simulated.Apply(env.now(), c)
	if err != nil {
		env.cancel(err)
		return
	}
	if c.Added != nil {
		env.addEndpoint(c)
	}
	env.updateListeners()
	env.dispatchAndWake()
	if update != nil {
		env.notifyListChanged()
	}
}

// notifyListChanged wakes the goroutines that serve watches of discovery. The caller must hold env.mu.
func (env *Environment) notifyListChanged() {
	close(env.listChanged)
	env.listChanged = make(chan struct{})
}
