package harness

import "time"

// now returns the time on the plan's clock; 0 before Begin. The caller must hold env.mu.
func (env *Environment) now() time.Duration {
	if env.started.IsZero() {
		return 0
	}
	return time.Since(env.started)
}

// sleepUntil waits until a time on the plan's clock. It returns false if the run ends first.
func (env *Environment) sleepUntil(when time.Duration) bool {
	return env.sleep(time.Until(env.started.Add(when)))
}

// sleep waits for a duration. It returns false if the run ends first.
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

// currentTime is like now, for callers that do not hold env.mu.
func (env *Environment) currentTime() time.Duration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.now()
}
