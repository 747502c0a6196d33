package audit

import "time"

// An effect is the first execution of a message. A second one breaks a rule; it is looked for until a time.
type effect struct {
	call  uint64
	at    time.Duration
	until time.Duration
}

// lateEffectWindow is for how long after the message's deadline a call may still take effect.
const lateEffectWindow = 2 * time.Minute

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
	a.forgetEffects()
	if e.Class < 0 || e.Class >= len(a.rules.Classes) || a.rules.Classes[e.Class].Idempotency != NotIdempotent {
		return
	}
	if before, twice := a.effects[e.Message]; twice {
		a.addViolation(Violation{
			Rule: RuleRepeat, At: e.At, Sender: e.Sender, Message: e.Message, Calls: []uint64{before.call, e.Call},
			Times: []time.Duration{before.at, e.At}, Text: "took effect twice",
		})
	}
	a.effects[e.Message] = effect{e.Call, e.At, e.At + lateEffectWindow}
}

// forgetEffects drops, from time to time, the effects of which no second one is looked for any more.
func (a *Auditor) forgetEffects() {
	if a.now < a.sweepAt {
		return
	}
	for id, x := range a.effects {
		if x.until < a.now {
			delete(a.effects, id)
		}
	}
	a.sweepAt = a.now + lateEffectWindow/4
}
