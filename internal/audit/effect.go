package audit

import "time"

// An execution is the first execution of a message. A second one breaks a rule; it is looked for until a time.
type execution struct {
	call  uint64
	at    time.Duration
	until time.Duration
}

// lateExecutionWindow is for how long after the message's deadline a call may still take effect.
const lateExecutionWindow = 2 * time.Minute

// executed judges an effect, whatever the sender made of its call, and also after the end of its message.
func (a *Auditor) executed(e Event) {
	switch {
	case e.Cause == "dropped":
		a.counts.Dropped++
		return
	case e.Cause == "late":
		a.counts.LateEffects++
	}
	a.counts.Effects++
	a.expireExecutions()
	if e.Class < 0 || e.Class >= len(a.rules.Classes) || a.rules.Classes[e.Class].Idempotency != NotIdempotent {
		return
	}
	if before, twice := a.executions[e.Message]; twice {
		a.addViolation(Violation{
			Rule: RuleRepeat, At: e.At, Sender: e.Sender, Message: e.Message, Calls: []uint64{before.call, e.Call},
			Times: []time.Duration{before.at, e.At}, Text: "took effect twice",
		})
	}
	a.executions[e.Message] = execution{e.Call, e.At, e.At + lateExecutionWindow}
}

// expireExecutions drops, from time to time, the effects of which no second one is looked for any more.
func (a *Auditor) expireExecutions() {
	if a.now < a.sweepAt {
		return
	}
	for id, x := range a.executions {
		if x.until < a.now {
			delete(a.executions, id)
		}
	}
	a.sweepAt = a.now + lateExecutionWindow/4
}
