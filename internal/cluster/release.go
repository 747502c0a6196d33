package cluster

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
)

// Measurement is what a release over a fleet, and halts of drains, took.
type Measurement struct {
	Senders, Agents         int
	WithFaults              bool          // agents are killed and links cut meanwhile
	Begin                   time.Duration // until all serve
	Release                 time.Duration // from the order to the end
	Resumes                 int           // times that staff had to have it go on
	RollBack                time.Duration // until all run the old version again
	HaltAll                 time.Duration // from a halt to the last sender that goes out after it; 0: none did
	HaltCut                 time.Duration // the same with the leader cut off as it is ordered
	FailedSubmissions       int           // hand-ins without an answer, or turned away, during the release
	Submissions             int           // in that time
	Served                  float64
	Violations              int
	OverBudget              int
	Before, During          float64     // part of the messages wanted that took effect: in 5 s before the release, and in it
	AtRest, DuringRelease   Cost        // of an agent, in the mean: at rest, and during the release
	WithAgent, WithoutAgent SenderSpent // of a sender, in the mean, at rest: with its agent, and while all agents are stopped
}

// Measure plays a release over a whole fleet to its end and back, then two drains that are halted.
func Measure(ctx context.Context, s Setup, strike bool) (Measurement, error) {
	m := Measurement{Senders: s.Senders, Agents: s.Agents, WithFaults: strike}
	y, err := New(ctx, s)
	if err != nil {
		return m, err
	}
	defer y.Close()
	began := time.Now()
	if err := y.Begin(); err != nil {
		return m, err
	}
	m.Begin = time.Since(began)
	good, _, err := writePrograms(s)
	if err != nil {
		return m, err
	}
	const calm = 5 * time.Second
	for i := range y.agents {
		y.SignalAgent(i, syscall.SIGSTOP)
	}
	m.WithoutAgent = y.senderUsage(calm)
	for i := range y.agents {
		y.SignalAgent(i, syscall.SIGCONT)
	}
	if err := y.Await(time.Minute, "all are seen again", func(v agent.View) bool { return len(v.State.Seen(v.Observations, time.Now())) == y.Senders }); err != nil {
		return m, err
	}
	before := y.usage()
	wanted, came := y.deliveryCounts()
	m.WithAgent = y.senderUsage(calm)
	after := y.usage()
	m.AtRest = costBetween(before, after)
	wanted2, came2 := y.deliveryCounts()
	m.Before = float64(came2-came) / float64(max(1, wanted2-wanted))
	door := func() (ended, all int) {
		for status, n := range y.Clients.Stats().Answers {
			if all += n; status != 202 && status != 200 {
				ended += n
			}
		}
		return ended, all
	}
	d0, n0 := door()
	gate := rollout.Gate{MinMessages: 30, Soak: time.Second, Wait: time.Minute}
	id, err := y.OrderAny(rollout.Command{Verb: rollout.Start, New: &rollout.Plan{Kind: rollout.Release, To: rollout.Version{Name: "v2", Program: good}, Gate: gate}})
	if err != nil {
		return m, err
	}
	began = time.Now()
	struck, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(struck)
		if strike {
			y.injectAgentFaults(done)
		}
	}()
	for {
		p, err := y.AwaitPlan(10*time.Minute, id, rollout.Done, rollout.Halted)
		if err != nil {
			close(done)
			<-struck
			return m, err
		}
		if p.Phase == rollout.Done {
			break
		}
		m.Resumes++
		if m.Resumes > 20 {
			close(done)
			<-struck
			return m, fmt.Errorf("the release does not end: %s", p.Why)
		}
		time.Sleep(time.Second) // staff look
		for i := range y.agents {
			if _, err := y.Order(i, rollout.Command{Verb: rollout.Resume, Plan: id, Revision: p.Revision}); err == nil {
				break
			}
		}
	}
	m.Release = time.Since(began)
	close(done)
	<-struck
	if !strike {
		m.DuringRelease = costBetween(after, y.usage())
	}
	d1, n1 := door()
	wanted3, came3 := y.deliveryCounts()
	m.During = float64(came3-came2) / float64(max(1, wanted3-wanted2))
	m.FailedSubmissions, m.Submissions = d1-d0, n1-n0
	if m.HaltAll, err = y.measureHalt(false); err != nil {
		return m, err
	}
	if m.HaltCut, err = y.measureHalt(true); err != nil {
		return m, err
	}
	// Back: a release of the old program, turned round once its first stages are through.
	id, err = y.OrderAny(rollout.Command{Verb: rollout.Start, New: &rollout.Plan{Kind: rollout.Release, To: rollout.Version{Name: "v3", Program: s.Program}, Gate: gate}})
	if err != nil {
		return m, err
	}
	if err := y.Await(5*time.Minute, "a third of the stages are through", func(v agent.View) bool {
		p := v.State.Plan(id)
		return p != nil && (p.Stage >= len(p.Stages)/3 || p.Phase == rollout.Halted)
	}); err != nil {
		return m, err
	}
	began = time.Now()
	if _, err := y.OrderAny(rollout.Command{Verb: rollout.RollBack, Plan: id}); err != nil {
		return m, err
	}
	if _, err := y.AwaitPlan(5*time.Minute, id, rollout.Ended); err != nil {
		return m, err
	}
	m.RollBack = time.Since(began)
	r := y.Finish()
	m.Served, m.Violations, m.OverBudget = r.Service, len(r.Violations), len(r.OverBudget)
	return m, nil
}

// injectAgentFaults strikes one agent after the other, never a majority of them at once, until it is enough.
func (c *Cluster) injectAgentFaults(done <-chan struct{}) {
	wait := func(d time.Duration) bool {
		select {
		case <-done:
			return false
		case <-time.After(d):
			return true
		}
	}
	names := c.AgentNames()
	for i := 0; wait(time.Second); i++ {
		k := i % len(names)
		switch i % 3 {
		case 0:
			c.SignalAgent(k, syscall.SIGKILL)
			wait(2 * time.Second)
			c.StartAgent(k)
		case 1:
			c.Net.Partition(names[k:k+1], names, netfault.State{Silent: true})
			wait(2 * time.Second)
			c.Net.Heal()
		case 2:
			c.Net.Set(names[k], names[(k+1)%len(names)], netfault.State{Cut: true})
			wait(2 * time.Second)
			c.Net.Heal()
		}
	}
}

// measureHalt drains the whole fleet, a few at a time, and halts it in the middle: how long after the halt was
// ordered the last sender went out. With the leader cut off the halt goes to another agent, as soon as one leads.
func (c *Cluster) measureHalt(cut bool) (time.Duration, error) {
	id, err := c.OrderAny(rollout.Command{Verb: rollout.Start, New: &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{c.Names}, Hold: 300 * time.Millisecond}})
	if err != nil {
		return 0, err
	}
	if err := c.Await(time.Minute, "some are through", func(v agent.View) bool {
		n := 0
		if p := v.State.Plan(id); p != nil {
			for _, t := range p.Tasks {
				if t.Step == rollout.Finished {
					n++
				}
			}
		}
		return n >= min(4, c.Senders/2)
	}); err != nil {
		return 0, err
	}
	first := c.Leader()
	if cut && first >= 0 {
		c.Net.Partition(c.AgentNames()[first:first+1], c.AgentNames(), netfault.State{Silent: true})
		defer c.Net.Heal()
	}
	ordered := time.Now()
	for until := ordered.Add(30 * time.Second); ; {
		done := false
		for i := range c.agents {
			if cut && i == first {
				continue
			}
			if _, err = c.Order(i, rollout.Command{Verb: rollout.Halt, Plan: id}); err == nil {
				done = true
				break
			}
		}
		if done || time.Now().After(until) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return 0, err
	}
	time.Sleep(c.Terms.Timing.Accept + 2*time.Second)
	_, last := c.Poll.Since(ordered)
	c.Net.Heal()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if _, err = c.OrderAny(rollout.Command{Verb: rollout.Activate, Plan: id}); err == nil {
			break
		}
	}
	if _, err := c.AwaitPlan(time.Minute, id, rollout.Done); err != nil {
		return 0, err
	}
	if last.IsZero() {
		return 0, nil
	}
	return last.Sub(ordered), nil
}
