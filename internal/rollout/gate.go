package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Watch gathers what a stage's gate is decided from. It is the leading agent's own: a new leader begins to look
// anew, which takes longer and never passes what an old one would not have. What those that had not changed were like is
// agreed on with each stage that is left: in the last one nobody is left to compare with. The zero value is ready.
type Watch struct{ plans map[uint64]*stageWatch }

// stageWatch is what was gathered of the stage that a plan is in.
type stageWatch struct {
	stage    int
	since    time.Time              // all of the stage's senders had changed, or zero
	baseline map[string]Observation // what they and the others were like then

	notServingSince map[string]time.Time // senders under way that did not serve, as their agents saw since then

	lateBaseline Sums      // what the changed senders had done when their first calls were last found late, or put right
	lateSince    time.Time // when that was, and is yet to be confirmed; or zero
}

// A Verdict tells whether a stage may be left, as far as that is known, and why.
type Verdict struct {
	Good, Known bool
	Text        string
	Others      Sums // what the changed senders were compared with
}

// Verdict is that on the stage that a plan is in. Several plans may run.
func (w *Watch) Verdict(s *State, p *Plan, observations map[string]Observation, now time.Time) Verdict {
	if w.plans == nil {
		w.plans = map[uint64]*stageWatch{}
	}
	for id := range w.plans {
		if q := s.Plan(id); q == nil || !q.Phase.Open() {
			delete(w.plans, id)
		}
	}
	x := w.plans[p.ID]
	if x == nil {
		x = &stageWatch{stage: p.Stage}
		w.plans[p.ID] = x
	}
	if x.stage != p.Stage {
		*x = stageWatch{stage: p.Stage}
	}
	return x.verdict(s, p, observations, now)
}

func (w *stageWatch) verdict(s *State, p *Plan, observations map[string]Observation, now time.Time) Verdict {
	fail := func(format string, args ...any) Verdict {
		return Verdict{Known: true, Text: fmt.Sprintf(format, args...)}
	}
	changed := map[string]bool{}
	complete := true
	for name, t := range p.Tasks {
		changed[name] = t.Step == Finished
		if t.Step != Finished && slices.Contains(p.Stages[p.Stage], name) {
			complete = false
		}
	}
	if !complete {
		w.since = time.Time{}
		if name := w.lostSender(s, p, observations, now); name != "" {
			return fail("%s went out for its change and is not seen any more: %s", name, observations[name].Phase)
		}
		return Verdict{}
	}
	w.notServingSince = nil
	if w.since.IsZero() {
		w.since, w.baseline = now, map[string]Observation{}
		for name := range s.Members {
			w.baseline[name] = observations[name]
		}
	}
	var changedSums, otherSums Sums
	unseen := ""
	for name := range s.Members {
		then, v := w.baseline[name], observations[name]
		if then.Process == "" && v.Process != "" { // a new leader has not seen all at first
			then = v
			w.baseline[name] = v
		}
		if then.Far && !v.Far { // only its agent counts restarts
			then.Facts.Restarts, then.Far = v.Facts.Restarts, false
			w.baseline[name] = then
		}
		switch {
		case v.Process == "":
			if changed[name] && now.Sub(v.At) > s.Terms.Timing.Fresh {
				unseen = name
			} else if changed[name] && now.Sub(w.since) > p.Gate.Soak {
				return fail("%s changed and is not seen any more: %s", name, v.Phase)
			}
		case changed[name]:
			changedSums.add(v, then)
			if v.Facts.Restarts > then.Facts.Restarts {
				return fail("%s crashed after its change", name)
			}
			if !v.Serving && now.Sub(v.At) <= s.Terms.Timing.Fresh && s.Grants[name] == nil && now.Sub(w.since) > p.Gate.Soak {
				return fail("%s changed and does not serve: %s", name, v.Phase)
			}
			if now.Sub(v.At) > s.Terms.Timing.Fresh { // its agent is away: that says nothing of the version
				unseen = name
			}
		default:
			otherSums.add(v, then)
		}
	}
	if p.Others != nil && (otherSums.Senders == 0 || otherSums.Taken+otherSums.Refused < int64(p.Gate.MinMessages)) {
		otherSums = *p.Others
	}
	if reason := worse(changedSums, otherSums, p.Gate); reason != "" {
		return fail("%s", reason)
	}
	reason, pending := w.confirmLate(changedSums, otherSums, p.Gate, now)
	if reason != "" {
		return fail("%s", reason)
	}
	waited := now.Sub(w.since)
	switch {
	case unseen != "" && waited >= p.Gate.Wait:
		return fail("not known to be good: nobody has seen %s for %v", unseen, now.Sub(observations[unseen].At).Round(time.Second))
	case waited < p.Gate.Soak || unseen != "" || pending && waited < p.Gate.Wait:
		return Verdict{}
	case pending:
		return fail("not known to be good: first calls came late, and %d have been made since, %d wanted", changedSums.Called-w.lateBaseline.Called, p.Gate.MinMessages)
	case changedSums.Ends >= int64(p.Gate.MinMessages) && otherSums.Ends >= int64(p.Gate.MinMessages):
		return Verdict{true, true, fmt.Sprintf("%d messages ended at %d changed senders, %d at others; none worse", changedSums.Ends, changedSums.Senders, otherSums.Ends), otherSums}
	case waited >= p.Gate.Wait:
		return fail("not known to be good: after %v %d messages have ended at the changed senders and %d beside them, %d wanted",
			waited.Round(time.Second), changedSums.Ends, otherSums.Ends, p.Gate.MinMessages)
	}
	return Verdict{}
}

// lostSender names a sender of the stage that went out and has not served for the gate's soak since, as its agent sees it.
// An agent that is still at the change does not look, so its sight is not fresh. Without this rule a version that fell
// silent between its agent's question and the sight after it would leave its grant open and the plan waiting for good.
func (w *stageWatch) lostSender(s *State, p *Plan, observations map[string]Observation, now time.Time) string {
	if w.notServingSince == nil {
		w.notServingSince = map[string]time.Time{}
	}
	lost := ""
	for _, name := range p.Stages[p.Stage] {
		g, v := s.Grants[name], observations[name]
		known := !v.Far && v.At.After(now.Add(-s.Terms.Timing.Fresh))
		stands := g != nil && v.Epoch == g.Epoch && !v.Ended // the agent fails or renews what stands
		if p.Tasks[name].Step != Granted || g == nil || stands || v.Serving {
			delete(w.notServingSince, name)
			continue
		}
		if known && w.notServingSince[name].IsZero() {
			w.notServingSince[name] = now
		}
		if known && lost == "" && now.Sub(w.notServingSince[name]) > p.Gate.Soak {
			lost = name
		}
	}
	return lost
}

// confirmLate tells that the changed senders' first calls come late again a soak after they were found to, or that this is
// still to be seen. Messages that wait behind one destination in trouble are late together and count as one
// finding: their chance isn't that of as many which are late each by itself. A sender that has just begun knows nothing of a
// trouble that the others have learned already, and meets it later than they.
func (w *stageWatch) confirmLate(changed, others Sums, g Gate, now time.Time) (reason string, pending bool) {
	since := changed
	since.Called, since.Late = changed.Called-w.lateBaseline.Called, changed.Late-w.lateBaseline.Late
	late := worseLate(since, others, g)
	switch {
	case w.lateSince.IsZero() && late == "":
		return "", false
	case w.lateSince.IsZero():
		w.lateSince, w.lateBaseline = now, changed
		return "", true
	case now.Sub(w.lateSince) < g.Soak || since.Called < int64(g.MinMessages):
		return "", true
	}
	w.lateSince, w.lateBaseline = time.Time{}, changed
	return late, false
}

// Gate is what a plan wants to see before it goes on to its next stage.
type Gate struct {
	MinMessages int           `json:"least"` // messages that the changed senders have ended, and those beside them
	Soak        time.Duration `json:"soak"`  // at the least so long
	Wait        time.Duration `json:"wait"`  // halted if it is not known by then
	Slack       float64       `json:"slack"` // a share may be worse by so much, besides chance
}

// DefaultGate is a plan's gate where its author says nothing else.
var DefaultGate = Gate{MinMessages: 30, Soak: 5 * time.Second, Wait: 10 * time.Minute, Slack: 0.02}

// withDefaults puts the usual in the place of what a gate leaves out.
func (g Gate) withDefaults() Gate {
	u := DefaultGate
	return Gate{cmp.Or(g.MinMessages, u.MinMessages), cmp.Or(g.Soak, u.Soak), cmp.Or(g.Wait, u.Wait), cmp.Or(g.Slack, u.Slack)}
}
