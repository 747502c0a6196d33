package rollout

import (
	"cmp"
	"fmt"
	"time"
)

// Watch collects the data on which the verdicts of the stages' gates are based. Only the leading agent keeps it. A new
// leader starts with an empty Watch: its verdicts take longer, but it accepts no stage that the previous leader would
// have failed. The sums of the unchanged senders are replicated whenever a stage is completed, since no unchanged
// sender is left for the comparison in the last stage. The zero value is ready for use.
type Watch struct{ plans map[uint64]*stageWatch }

// stageWatch is the data collected for the current stage of a plan.
type stageWatch struct {
	stage    int
	since    time.Time              // when all senders of the stage had changed; zero: not yet
	baseline map[string]Observation // the observations of all senders at that time

	notServingSince map[string]time.Time // by changing sender: since when it is observed not to serve

	lateBaseline Sums      // the changed senders' sums when the share of late first attempts was last found or cleared
	lateSince    time.Time // when late first attempts were found that are still to be confirmed; else zero
}

// Verdict is the result of a gate's check: whether the plan may leave the stage, and why. Good and Text are valid only
// if Known is true.
type Verdict struct {
	Good, Known bool
	Text        string
	Baseline    Sums // the sums that the changed senders were compared with
}

// Verdict returns the verdict on the current stage of a plan. Several plans may run at the same time.
func (w *Watch) Verdict(s *State, p *Plan, observations map[string]Observation, now time.Time) Verdict {
	if w.plans == nil {
		w.plans = map[uint64]*stageWatch{}
	}
	for id := range w.plans {
		if q := s.Plan(id); q == nil || !q.Phase.Open() {
			delete(w.plans, id)
		}
	}
	watch := w.plans[p.ID]
	if watch == nil {
		watch = &stageWatch{stage: p.Stage}
		w.plans[p.ID] = watch
	}
	if watch.stage != p.Stage {
		*watch = stageWatch{stage: p.Stage}
	}
	return watch.verdict(s, p, observations, now)
}

// failed returns the verdict that the plan may not leave a stage, with the reason.
func failed(format string, args ...any) Verdict {
	return Verdict{Known: true, Text: fmt.Sprintf(format, args...)}
}

// verdict returns the verdict on the current stage of a plan.
func (w *stageWatch) verdict(s *State, p *Plan, observations map[string]Observation, now time.Time) Verdict {
	if !p.stageComplete() {
		w.since = time.Time{}
		if name := w.lostSender(s, p, observations, now); name != "" {
			return failed("%s went out for its change and is not seen any more: %s", name, observations[name].Phase)
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
	counts, failure := w.compare(s, p, observations, now)
	if failure != nil {
		return *failure
	}
	if p.Baseline != nil && (counts.others.Senders == 0 ||
		counts.others.Accepted+counts.others.Rejected < int64(p.Gate.MinMessages)) {
		counts.others = *p.Baseline
	}
	if reason := regression(counts.changed, counts.others, p.Gate); reason != "" {
		return failed("%s", reason)
	}
	reason, pending := w.confirmLate(counts.changed, counts.others, p.Gate, now)
	if reason != "" {
		return failed("%s", reason)
	}
	return w.decide(p, counts, pending, observations, now)
}

// stageComplete reports whether all senders of the current stage have changed.
func (p *Plan) stageComplete() bool {
	for _, name := range p.Stages[p.Stage] {
		if t := p.Tasks[name]; t != nil && t.Step != Finished {
			return false
		}
	}
	return true
}

// comparison holds the counts of the changed senders and of the others since all senders of the stage had changed.
type comparison struct {
	changed, others Sums
	unobserved      string // a changed sender without a fresh observation, if any
}

// compare sums up the senders' counters since the baseline. It returns a verdict if a changed sender has failed.
func (w *stageWatch) compare(
	s *State, p *Plan, observations map[string]Observation, now time.Time,
) (comparison, *Verdict) {
	var counts comparison
	for name := range s.Members {
		before, observed := w.updateBaseline(name, observations[name])
		changed := p.Tasks[name] != nil && p.Tasks[name].Step == Finished
		stale := now.Sub(observed.At) > s.Terms.Timing.MaxObservationAge
		soaked := now.Sub(w.since) > p.Gate.Soak
		switch {
		case observed.Process == "" && changed && stale:
			counts.unobserved = name
		case observed.Process == "" && changed && soaked:
			v := failed("%s changed and is not seen any more: %s", name, observed.Phase)
			return counts, &v
		case observed.Process == "":
		case changed:
			counts.changed.add(observed, before)
			if observed.Counters.Restarts > before.Counters.Restarts {
				v := failed("%s crashed after its change", name)
				return counts, &v
			}
			if !observed.Serving && !stale && s.Grants[name] == nil && soaked {
				v := failed("%s changed and does not serve: %s", name, observed.Phase)
				return counts, &v
			}
			if stale { // its agent does not report, which is no evidence against the version
				counts.unobserved = name
			}
		default:
			counts.others.add(observed, before)
		}
	}
	return counts, nil
}

// updateBaseline returns the baseline of a sender and its latest observation. A new leader may lack data in its
// baseline: updateBaseline adds the first observation of a process, and the count of restarts, which only the sender's
// own agent knows.
func (w *stageWatch) updateBaseline(name string, observed Observation) (before, after Observation) {
	before = w.baseline[name]
	if before.Process == "" && observed.Process != "" {
		before = observed
		w.baseline[name] = observed
	}
	if before.Remote && !observed.Remote {
		before.Counters.Restarts, before.Remote = observed.Counters.Restarts, false
		w.baseline[name] = before
	}
	return before, observed
}

// decide returns the verdict where the comparison found no regression. The verdict is known once the gate's soak is
// over and enough messages were compared, or once the gate's wait is over.
func (w *stageWatch) decide(
	p *Plan, counts comparison, pending bool, observations map[string]Observation, now time.Time,
) Verdict {
	waited := now.Sub(w.since)
	enough := int64(p.Gate.MinMessages)
	switch {
	case counts.unobserved != "" && waited >= p.Gate.Wait:
		return failed("not known to be good: nobody has seen %s for %v", counts.unobserved,
			now.Sub(observations[counts.unobserved].At).Round(time.Second))
	case waited < p.Gate.Soak || counts.unobserved != "" || pending && waited < p.Gate.Wait:
		return Verdict{}
	case pending:
		return failed("not known to be good: first calls came late, and %d have been made since, %d wanted",
			counts.changed.Called-w.lateBaseline.Called, p.Gate.MinMessages)
	case counts.changed.Outcomes >= enough && counts.others.Outcomes >= enough:
		return Verdict{true, true, fmt.Sprintf("%d messages ended at %d changed senders, %d at others; none worse",
			counts.changed.Outcomes, counts.changed.Senders, counts.others.Outcomes), counts.others}
	case waited >= p.Gate.Wait:
		return failed("not known to be good: after %v %d messages have ended at the changed senders "+
			"and %d beside them, %d wanted",
			waited.Round(time.Second), counts.changed.Outcomes, counts.others.Outcomes, p.Gate.MinMessages)
	}
	return Verdict{}
}

// lostSender returns the name of a sender of the stage that went out of service and has since been observed by its own
// agent not to serve for the gate's soak, or "". While an agent changes a sender's version it makes no observations,
// so that its last one is stale. Without this rule a version that becomes unresponsive right after the change would
// leave its grant open, and the plan waiting, forever.
func (w *stageWatch) lostSender(s *State, p *Plan, observations map[string]Observation, now time.Time) string {
	if w.notServingSince == nil {
		w.notServingSince = map[string]time.Time{}
	}
	lost := ""
	for _, name := range p.Stages[p.Stage] {
		g, v := s.Grants[name], observations[name]
		known := !v.Remote && v.At.After(now.Add(-s.Terms.Timing.MaxObservationAge))
		active := g != nil && v.Epoch == g.Epoch && !v.Ended // the agent renews or ends an active lease
		if p.Tasks[name].Step != Granted || g == nil || active || v.Serving {
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

// confirmLate returns the reason why the changed senders fail for late first attempts, or pending while a first finding
// is still to be confirmed. It takes two findings, a soak apart: messages that wait for one faulty destination are late
// together, so that a single finding may be chance, and a sender that has just started detects a fault later than the
// others.
func (w *stageWatch) confirmLate(changed, others Sums, g Gate, now time.Time) (reason string, pending bool) {
	since := changed
	since.Called, since.Late = changed.Called-w.lateBaseline.Called, changed.Late-w.lateBaseline.Late
	late := lateRegression(since, others, g)
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

// Gate is the condition under which a release proceeds to its next stage.
type Gate struct {
	MinMessages int           `json:"least"` // messages with an outcome, of the changed senders and of the others
	Soak        time.Duration `json:"soak"`  // minimum time after the last change of the stage before it may pass
	Wait        time.Duration `json:"wait"`  // the gate fails if there is no verdict by then
	Slack       float64       `json:"slack"` // by how much a share may be worse, in addition to chance
}

// DefaultGate has the values for the fields that a plan's gate leaves at zero.
var DefaultGate = Gate{MinMessages: 30, Soak: 5 * time.Second, Wait: 10 * time.Minute, Slack: 0.02}

// withDefaults returns the gate with its zero fields replaced by those of DefaultGate.
func (g Gate) withDefaults() Gate {
	u := DefaultGate
	return Gate{cmp.Or(g.MinMessages, u.MinMessages), cmp.Or(g.Soak, u.Soak), cmp.Or(g.Wait, u.Wait),
		cmp.Or(g.Slack, u.Slack)}
}
