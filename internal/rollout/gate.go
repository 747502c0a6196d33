package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Watch gathers what a stage's gate is decided from. It is the leading agent's own: a new leader begins to look
// anew, which takes longer and never passes what an old one would not have. What those that had not changed were like is
// agreed on with each stage that is left: in the last one nobody is left to compare with. The zero value is ready.
type Watch struct{ plans map[uint64]*stageWatch }

// stageWatch is what was gathered of the stage that a plan is in.
type stageWatch struct {
	stage int
	since time.Time              // all of the stage's senders had changed, or zero
	base  map[string]Observation // what they and the others were like then

	silent map[string]time.Time // senders under way that did not serve, as their agents saw since then

	late      Sums      // what the changed senders had done when their first calls were last found late, or put right
	foundLate time.Time // when that was, and is yet to be confirmed; or zero
}

// Sums are facts over many senders.
type Sums struct {
	Refused  int64   `json:"refused"`
	Taken    int64   `json:"taken"`
	Failed   int64   `json:"failed"`
	Ends     int64   `json:"ends"`
	Called   int64   `json:"called"`
	Late     int64   `json:"late"`
	Senders  int     `json:"senders"`
	MemoryMB float64 `json:"memory_mb"` // the most of one
}

// add adds what a sender did since a sight of before. A process that is new since then began at nothing.
func (x *Sums) add(now, then Observation) {
	f, b := now.Facts, then.Facts
	if now.Process != then.Process {
		b = Counters{Restarts: b.Restarts}
	}
	x.Taken += f.Accepted - b.Accepted
	x.Refused += f.Rejected - b.Rejected
	x.Failed += f.Failed - b.Failed
	x.Ends += f.Failed + f.Delivered + f.Deferred - b.Failed - b.Delivered - b.Deferred
	x.Called += f.Called - b.Called
	x.Late += f.Late - b.Late
	x.MemoryMB = max(x.MemoryMB, f.MemoryMB)
	x.Senders++
}

// Figures of the comparison. A share is worse if it lies above the other by the plan's slack and by what chance
// explains but once in some hundreds; memory if it lies above it by the factor and the floor. Of times only the part that is
// late is compared: a mean of few is moved by one message that waits for seconds.
const (
	chance      = 3.0 // standard errors
	memoryTimes = 1.5
	memoryFloor = 24.0 // MB
)

// A Verdict tells whether a stage may be left, as far as that is known, and why.
type Verdict struct {
	Good, Known bool
	Text        string
	Others      Sums // what the changed senders were compared with
}

// Verdict is that on the stage that a plan is in. Several plans may run.
func (w *Watch) Verdict(s *State, p *Plan, sights map[string]Observation, now time.Time) Verdict {
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
	return x.verdict(s, p, sights, now)
}

func (w *stageWatch) verdict(s *State, p *Plan, sights map[string]Observation, now time.Time) Verdict {
	bad := func(format string, args ...any) Verdict {
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
		if name := w.lost(s, p, sights, now); name != "" {
			return bad("%s went out for its change and is not seen any more: %s", name, sights[name].Phase)
		}
		return Verdict{}
	}
	w.silent = nil
	if w.since.IsZero() {
		w.since, w.base = now, map[string]Observation{}
		for name := range s.Members {
			w.base[name] = sights[name]
		}
	}
	var new, old Sums
	unseen := ""
	for name := range s.Members {
		then, v := w.base[name], sights[name]
		if then.Process == "" && v.Process != "" { // a new leader has not seen all at first
			then = v
			w.base[name] = v
		}
		if then.Far && !v.Far { // only its agent counts restarts
			then.Facts.Restarts, then.Far = v.Facts.Restarts, false
			w.base[name] = then
		}
		switch {
		case v.Process == "":
			if changed[name] && now.Sub(v.At) > s.Terms.Timing.Fresh {
				unseen = name
			} else if changed[name] && now.Sub(w.since) > p.Gate.Soak {
				return bad("%s changed and is not seen any more: %s", name, v.Phase)
			}
		case changed[name]:
			new.add(v, then)
			if v.Facts.Restarts > then.Facts.Restarts {
				return bad("%s crashed after its change", name)
			}
			if !v.Serving && now.Sub(v.At) <= s.Terms.Timing.Fresh && s.Grants[name] == nil && now.Sub(w.since) > p.Gate.Soak {
				return bad("%s changed and does not serve: %s", name, v.Phase)
			}
			if now.Sub(v.At) > s.Terms.Timing.Fresh { // its agent is away: that says nothing of the version
				unseen = name
			}
		default:
			old.add(v, then)
		}
	}
	if p.Others != nil && (old.Senders == 0 || old.Taken+old.Refused < int64(p.Gate.MinMessages)) {
		old = *p.Others
	}
	if why := worse(new, old, p.Gate); why != "" {
		return bad("%s", why)
	}
	why, pending := w.lateAgain(new, old, p.Gate, now)
	if why != "" {
		return bad("%s", why)
	}
	waited := now.Sub(w.since)
	switch {
	case unseen != "" && waited >= p.Gate.Wait:
		return bad("not known to be good: nobody has seen %s for %v", unseen, now.Sub(sights[unseen].At).Round(time.Second))
	case waited < p.Gate.Soak || unseen != "" || pending && waited < p.Gate.Wait:
		return Verdict{}
	case pending:
		return bad("not known to be good: first calls came late, and %d have been made since, %d wanted", new.Called-w.late.Called, p.Gate.MinMessages)
	case new.Ends >= int64(p.Gate.MinMessages) && old.Ends >= int64(p.Gate.MinMessages):
		return Verdict{true, true, fmt.Sprintf("%d messages ended at %d changed senders, %d at others; none worse", new.Ends, new.Senders, old.Ends), old}
	case waited >= p.Gate.Wait:
		return bad("not known to be good: after %v %d messages have ended at the changed senders and %d beside them, %d wanted",
			waited.Round(time.Second), new.Ends, old.Ends, p.Gate.MinMessages)
	}
	return Verdict{}
}

// lost names a sender of the stage that went out and has not served for the gate's soak since, as its agent sees it.
// An agent that is still at the change does not look, so its sight is not fresh. Without this rule a version that fell
// silent between its agent's question and the sight after it would leave its grant open and the plan waiting for good.
func (w *stageWatch) lost(s *State, p *Plan, sights map[string]Observation, now time.Time) string {
	if w.silent == nil {
		w.silent = map[string]time.Time{}
	}
	lost := ""
	for _, name := range p.Stages[p.Stage] {
		g, v := s.Grants[name], sights[name]
		known := !v.Far && v.At.After(now.Add(-s.Terms.Timing.Fresh))
		stands := g != nil && v.Epoch == g.Epoch && !v.Ended // the agent fails or renews what stands
		if p.Tasks[name].Step != Granted || g == nil || stands || v.Serving {
			delete(w.silent, name)
			continue
		}
		if known && w.silent[name].IsZero() {
			w.silent[name] = now
		}
		if known && lost == "" && now.Sub(w.silent[name]) > p.Gate.Soak {
			lost = name
		}
	}
	return lost
}

// lateAgain tells that the changed senders' first calls come late again a soak after they were found to, or that this is
// still to be seen. Messages that wait behind one destination in trouble are late together and count as one
// finding: their chance isn't that of as many which are late each by itself. A sender that has just begun knows nothing of a
// trouble that the others have learned already, and meets it later than they.
func (w *stageWatch) lateAgain(new, old Sums, g Gate, now time.Time) (why string, pending bool) {
	since := new
	since.Called, since.Late = new.Called-w.late.Called, new.Late-w.late.Late
	late := worseLate(since, old, g)
	switch {
	case w.foundLate.IsZero() && late == "":
		return "", false
	case w.foundLate.IsZero():
		w.foundLate, w.late = now, new
		return "", true
	case now.Sub(w.foundLate) < g.Soak || since.Called < int64(g.MinMessages):
		return "", true
	}
	w.foundLate, w.late = time.Time{}, new
	return late, false
}

// worse tells in what the new are worse than the old; empty: in nothing that is known.
func worse(new, old Sums, g Gate) string {
	if why := worsePart("messages refused", new.Refused, new.Taken+new.Refused, old.Refused, old.Taken+old.Refused, g); why != "" {
		return why
	}
	if why := worsePart("ends that are failures", new.Failed, new.Ends, old.Failed, old.Ends, g); why != "" {
		return why
	}
	if old.MemoryMB > 0 && new.MemoryMB > memoryTimes*old.MemoryMB && new.MemoryMB > old.MemoryMB+memoryFloor {
		return fmt.Sprintf("memory: %.0f MB, %.0f beside them", new.MemoryMB, old.MemoryMB)
	}
	return ""
}

// worseLate tells that the new make more first calls late than the old.
func worseLate(new, old Sums, g Gate) string {
	return worsePart("time to the first call too long", new.Late, new.Called, old.Late, old.Called, g)
}

// worsePart tells that n of so many are a greater part than n0 of so many beside them; empty: it isn't, or isn't known.
func worsePart(what string, n, of, n0, of0 int64, g Gate) string {
	if least := int64(g.MinMessages); of < least || of0 < least || of == 0 || of0 == 0 {
		return ""
	}
	a, b := float64(n)/float64(of), float64(n0)/float64(of0)
	pool := float64(n+n0) / float64(of+of0)
	err := math.Sqrt(pool * (1 - pool) * (1/float64(of) + 1/float64(of0)))
	if a-b <= g.Slack+chance*err {
		return ""
	}
	return fmt.Sprintf("%s: %.1f%% of %d, %.1f%% of %d beside them", what, 100*a, of, 100*b, of0)
}
