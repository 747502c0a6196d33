package audit

import "time"

// An execution is the latest execution of a message that is not idempotent. Another one before the time until is a
// violation.
type execution struct {
	call  uint64
	at    time.Duration
	until time.Duration
}

// lateExecutionWindow is how long after the deadline of a message a call may still execute it.
const lateExecutionWindow = 2 * time.Minute

// executed checks an execution of a message. It does so regardless of the outcome that the sender recorded for the
// call, and also after the message has ended.
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

// expireExecutions removes expired executions. It scans them at most once in a quarter of lateExecutionWindow.
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
