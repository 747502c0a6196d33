package harness

import "time"

// now is the time on the plan's clock.
func (env *Environment) now() time.Duration {
	if env.started.IsZero() {
		return 0
	}
	return time.Since(env.started)
}

// sleepUntil waits until a time on the plan's clock; false at the end of the world.
func (env *Environment) sleepUntil(when time.Duration) bool {
	timer := time.NewTimer(time.Until(env.started.Add(when)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-env.ctx.Done():
		return false
	}
}

// sleep passes a span of time; false at the end of the world.
func (env *Environment) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-env.ctx.Done():
		return false
	}
}

func (env *Environment) currentTime() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.now()
}
