package harness

import (
	"time"

	"cleathold/internal/scenario"
	"cleathold/internal/timeline"
)

// advanceModel lets the model come up to the time, whenever something happens in it.
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
		next, some := env.simulated.Model.Next()
		env.mu.Unlock()
		if some {
			timer.Reset(time.Until(env.started.Add(next)))
		} else {
			timer.Reset(time.Hour)
		}
	}
}

// dispatchAndWake hands on what came of a step, and has the pump look at what comes next;
// under the lock.
func (env *Environment) dispatchAndWake() {
	env.dispatchAnswers()
	select {
	case env.wake <- struct{}{}:
	default:
	}
}

// dispatchAnswers hands the model's answers on, and measures how late they are; under the
// lock.
func (env *Environment) dispatchAnswers() {
	falls := env.simulated.Overloads()
	for _, a := range env.simulated.Collect() {
		recordLag(env.lag, env.now()-a.At)
		if c := env.pendingAnswers[a.Call]; c != nil {
			c <- a // has room for one, and gets one
			delete(env.pendingAnswers, a.Call)
		}
	}
	if env.simulated.Overloads() > falls {
		env.updateListeners()
	}
}

// runChanges does what the plan says to the endpoints, and to discovery.
func (env *Environment) runChanges() {
	var acts timeline.Queue[func()]
	env.mu.Lock()
	for i, c := range env.plan.Changes {
		acts.Push(c.At, uint64(i), func() { env.applyChange(c) })
	}
	for _, b := range env.plan.DiscoveryOutages {
		acts.Push(b.From, 0, env.notifyListChanged)
		acts.Push(b.To, 0, env.notifyListChanged)
	}
	for _, at := range env.plan.LinkChanges() {
		acts.Push(at, 0, env.updateLinks)
	}
	env.mu.Unlock()
	for _, _, some := acts.First(); some; _, _, some = acts.First() {
		at, do := acts.Pop()
		if !env.sleepUntil(at) {
			return
		}
		env.mu.Lock()
		do()
		env.mu.Unlock()
	}
}

// applyChange is a step of the plan; under the lock.
func (env *Environment) applyChange(c scenario.Change) {
	told, err := env.simulated.Apply(env.now(), c)
	if err != nil {
		env.cancel(err)
		return
	}
	if c.Joins != nil {
		env.addEndpoint(c)
	}
	env.updateListeners()
	env.dispatchAndWake()
	if told != nil {
		env.notifyListChanged()
	}
}

// notifyListChanged tells all who wait for news to look again; under the lock.
func (env *Environment) notifyListChanged() {
	close(env.listChanged)
	env.listChanged = make(chan struct{})
}
