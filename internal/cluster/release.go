package cluster

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
)

const (
	idleDuration     = 5 * time.Second // of each measurement without orders
	releaseTimeout   = 10 * time.Minute
	rollBackTimeout  = 5 * time.Minute
	haltTimeout      = 30 * time.Second
	maxResumes       = 20
	faultInterval    = time.Second     // between two faults of agents
	faultDuration    = 2 * time.Second // of each fault of an agent
	afterHaltMargin  = 2 * time.Second // added to the time during which agents may still act on an old order
	activateInterval = 100 * time.Millisecond
)

// releaseGate is the gate of the measured releases.
var releaseGate = rollout.Gate{MinMessages: 30, Soak: time.Second, Wait: time.Minute}

// Measurement contains the durations and costs of a release to a whole fleet, of halts of drains and of a rollback.
type Measurement struct {
	Senders           int           `json:"Senders"`
	Agents            int           `json:"Agents"`
	WithFaults        bool          `json:"Struck"`  // agents are killed and links cut during the release
	Begin             time.Duration `json:"Begin"`   // from the start until all senders serve
	Release           time.Duration `json:"Release"` // from the order to the end of the release
	Resumes           int           `json:"Resumes"` // number of times that the release had to be resumed
	RollBack          time.Duration `json:"Back"`    // from the order until all senders run the old version again
	HaltAll           time.Duration `json:"HaltAll"` // from a halt to the last sender that goes out after it; 0 = none
	HaltCut           time.Duration `json:"HaltCut"` // like HaltAll, with the leader cut off when the halt is ordered
	FailedSubmissions int           `json:"Door"`    // without a response, or rejected, during the release
	Submissions       int           `json:"HandIns"` // all submissions during the release
	Served            float64       `json:"Served"`
	Violations        int           `json:"Breaks"`
	OverBudget        int           `json:"Over"`

	// The fraction of the requested messages that took effect, in the 5 s before the release and during it.
	Before float64 `json:"Before"`
	During float64 `json:"During"`
	// The average resource usage of an agent, without orders and during the release.
	AtRest        AgentUsage `json:"Rest"`
	DuringRelease AgentUsage `json:"Busy"`
	// The average resource usage of a sender without orders, with its agent and while all agents are stopped.
	WithAgent    SenderUsage `json:"Watched"`
	WithoutAgent SenderUsage `json:"Alone"`
}

// A measurer performs the steps of a Measurement.
type measurer struct {
	Measurement
	cluster *Cluster

	// Values at the end of measureIdle, where the measurement of the release begins.
	usage               usage
	requested, executed int
}

// Measure starts a cluster and measures a complete release to the whole fleet, two drains that are halted, and a
// release that is rolled back. With faults, agents are killed and cut off during the first release.
func Measure(ctx context.Context, s Setup, faults bool) (Measurement, error) {
	m := measurer{Measurement: Measurement{Senders: s.Senders, Agents: s.Agents, WithFaults: faults}}
	c, err := New(ctx, s)
	if err != nil {
		return m.Measurement, err
	}
	defer c.Close()
	m.cluster = c
	err = m.run()
	return m.Measurement, err
}

func (m *measurer) run() error {
	c := m.cluster
	started := time.Now()
	if err := c.Begin(); err != nil {
		return err
	}
	m.Begin = time.Since(started)
	program, _, err := writePrograms(c.Setup)
	if err != nil {
		return err
	}
	if err := m.measureIdle(); err != nil {
		return err
	}
	if err := m.measureRelease(program); err != nil {
		return err
	}
	if m.HaltAll, err = c.measureHalt(false); err != nil {
		return err
	}
	if m.HaltCut, err = c.measureHalt(true); err != nil {
		return err
	}
	if err := m.measureRollBack(); err != nil {
		return err
	}
	r := c.Finish()
	m.Served, m.Violations, m.OverBudget = r.Service, len(r.Violations), len(r.OverBudget)
	return nil
}

// measureIdle measures the resource usage without orders: first that of the senders while the agents are stopped, then
// that of both.
func (m *measurer) measureIdle() error {
	c := m.cluster
	for i := range c.agents {
		c.SignalAgent(i, syscall.SIGSTOP)
	}
	m.WithoutAgent = c.senderUsage(idleDuration)
	for i := range c.agents {
		c.SignalAgent(i, syscall.SIGCONT)
	}
	err := c.Await(time.Minute, "all are seen again", func(v agent.FleetView) bool {
		return len(v.State.ServingSenders(v.Observations, time.Now())) == c.Senders
	})
	if err != nil {
		return err
	}
	before := c.agentUsage()
	requested, executed := c.deliveryCounts()
	m.WithAgent = c.senderUsage(idleDuration)
	m.usage = c.agentUsage()
	m.AtRest = costBetween(before, m.usage)
	m.requested, m.executed = c.deliveryCounts()
	m.Before = float64(m.executed-executed) / float64(max(1, m.requested-requested))
	return nil
}

// measureRelease measures a complete release.
func (m *measurer) measureRelease(program string) error {
	c := m.cluster
	failedBefore, allBefore := c.submissionCounts()
	id, err := c.orderRelease("v2", program)
	if err != nil {
		return err
	}
	started := time.Now()
	stopFaults := func() {}
	if m.WithFaults {
		stopFaults = c.startAgentFaults()
	}
	if err := m.awaitRelease(id); err != nil {
		stopFaults()
		return err
	}
	m.Release = time.Since(started)
	stopFaults()
	if !m.WithFaults {
		m.DuringRelease = costBetween(m.usage, c.agentUsage())
	}
	failed, all := c.submissionCounts()
	requested, executed := c.deliveryCounts()
	m.During = float64(executed-m.executed) / float64(max(1, requested-m.requested))
	m.FailedSubmissions, m.Submissions = failed-failedBefore, all-allBefore
	return nil
}

// submissionCounts returns the number of submissions that got no response or were rejected, and that of all
// submissions.
func (c *Cluster) submissionCounts() (failed, all int) {
	for status, n := range c.Clients.Stats().Answers {
		if all += n; status != http.StatusAccepted && status != http.StatusOK {
			failed += n
		}
	}
	return failed, all
}

// orderRelease orders a release to all senders, and returns the plan's id.
func (c *Cluster) orderRelease(version, program string) (id uint64, err error) {
	return c.OrderAny(rollout.Command{Verb: rollout.Start, New: &rollout.Plan{
		Kind: rollout.Release, To: rollout.Version{Name: version, Program: program}, Gate: releaseGate,
	}})
}

// awaitRelease waits until a release is done, and resumes it whenever it is halted, as operators would.
func (m *measurer) awaitRelease(id uint64) error {
	c := m.cluster
	for {
		p, err := c.AwaitPlan(releaseTimeout, id, rollout.Done, rollout.Halted)
		if err != nil {
			return err
		}
		if p.Phase == rollout.Done {
			return nil
		}
		m.Resumes++
		if m.Resumes > maxResumes {
			return fmt.Errorf("release halted too often: %s", p.PhaseReason)
		}
		time.Sleep(time.Second) // simulated reaction time of the operators
		for i := range c.agents {
			resume := rollout.Command{Verb: rollout.Resume, Plan: id, Revision: p.Revision}
			if _, err := c.SendCommand(i, resume); err == nil {
				break
			}
		}
	}
}

// measureRollBack orders a release of the old program, and rolls it back when a third of the stages are finished.
func (m *measurer) measureRollBack() error {
	c := m.cluster
	id, err := c.orderRelease("v3", c.Program)
	if err != nil {
		return err
	}
	err = c.Await(rollBackTimeout, "a third of the stages are through", func(v agent.FleetView) bool {
		p := v.State.Plan(id)
		return p != nil && (p.Stage >= len(p.Stages)/3 || p.Phase == rollout.Halted)
	})
	if err != nil {
		return err
	}
	started := time.Now()
	if _, err := c.OrderAny(rollout.Command{Verb: rollout.RollBack, Plan: id}); err != nil {
		return err
	}
	if _, err := c.AwaitPlan(rollBackTimeout, id, rollout.Ended); err != nil {
		return err
	}
	m.RollBack = time.Since(started)
	return nil
}

// startAgentFaults starts injecting faults into one agent after the other, so that a majority of the agents always
// remains. The returned function stops it and waits until the last fault is over.
func (c *Cluster) startAgentFaults() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		c.injectAgentFaults(done)
	}()
	return func() {
		close(done)
		<-ended
	}
}

func (c *Cluster) injectAgentFaults(done <-chan struct{}) {
	sleep := func(d time.Duration) bool {
		select {
		case <-done:
			return false
		case <-time.After(d):
			return true
		}
	}
	names := c.AgentNames()
	for i := 0; sleep(faultInterval); i++ {
		k := i % len(names)
		switch i % 3 {
		case 0:
			c.SignalAgent(k, syscall.SIGKILL)
			sleep(faultDuration)
			c.StartAgent(k)
		case 1:
			c.Net.Partition(names[k:k+1], names, netfault.State{Silent: true})
			sleep(faultDuration)
			c.Net.Heal()
		case 2:
			c.Net.Set(names[k], names[(k+1)%len(names)], netfault.State{Cut: true})
			sleep(faultDuration)
			c.Net.Heal()
		}
	}
}

// measureHalt drains the whole fleet, a few senders at a time, and halts the drain in the middle. It returns the time
// from the halt order to the last sender that went out; 0 if none did. With cut, the leader is cut off first and the
// halt is sent to the other agents, which accept it as soon as one of them is the leader.
func (c *Cluster) measureHalt(cut bool) (time.Duration, error) {
	id, err := c.startDrainOfAll()
	if err != nil {
		return 0, err
	}
	leader, skip := c.Leader(), -1
	if cut {
		skip = leader
		if leader >= 0 {
			c.Net.Partition(c.AgentNames()[leader:leader+1], c.AgentNames(), netfault.State{Silent: true})
			defer c.Net.Heal()
		}
	}
	ordered := time.Now()
	if err := c.orderHalt(id, skip); err != nil {
		return 0, err
	}
	time.Sleep(c.Terms.Timing.TakeTimeout + afterHaltMargin)
	_, last := c.Poll.DrainsSince(ordered)
	c.Net.Heal()
	for until := time.Now().Add(haltTimeout); time.Now().Before(until); time.Sleep(activateInterval) {
		if _, err := c.OrderAny(rollout.Command{Verb: rollout.Activate, Plan: id}); err == nil {
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

// startDrainOfAll orders a drain of all senders, waits until some of them have finished, and returns the plan's id.
func (c *Cluster) startDrainOfAll() (id uint64, err error) {
	id, err = c.OrderAny(rollout.Command{Verb: rollout.Start, New: &rollout.Plan{
		Kind: rollout.Drain, Stages: [][]string{c.Names}, Hold: 300 * time.Millisecond,
	}})
	if err != nil {
		return 0, err
	}
	err = c.Await(time.Minute, "some are through", func(v agent.FleetView) bool {
		n := 0
		if p := v.State.Plan(id); p != nil {
			for _, t := range p.Tasks {
				if t.Step == rollout.Finished {
					n++
				}
			}
		}
		return n >= min(4, c.Senders/2)
	})
	return id, err
}

// orderHalt sends a halt to one agent after the other, except the skipped one, until one accepts it.
func (c *Cluster) orderHalt(id uint64, skip int) (err error) {
	for until := time.Now().Add(haltTimeout); ; time.Sleep(orderInterval) {
		for i := range c.agents {
			if i == skip {
				continue
			}
			if _, err = c.SendCommand(i, rollout.Command{Verb: rollout.Halt, Plan: id}); err == nil {
				return nil
			}
		}
		if time.Now().After(until) {
			return err
		}
	}
}
