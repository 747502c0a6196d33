package cluster

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/audit"
	"cleathold/internal/harness"
	"cleathold/internal/netfault"
	"cleathold/internal/scenario"
)

// TestInjectLinkFault checks that each kind of link fault cuts the right link, that undo heals it, and that the times
// in which a sender cannot reach discovery are recorded for the auditor.
func TestInjectLinkFault(t *testing.T) {
	s, err := scenario.Load("../../examples/scenarios/building-refuses.star", nil)
	if err != nil {
		t.Fatal(err)
	}
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() { // sends a greeting on each connection
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			fmt.Fprintln(c, "hello")
			c.Close()
		}
	}()
	for kind, c := range map[ActionKind]struct {
		from, to string
		events   []audit.EventKind
	}{
		PartitionAgent: {"a1", "a0", nil},
		AgentLink:      {"a1", "a2", nil},
		SenderToAgent:  {"a1", "n1", nil},
		ClientsLink:    {scenario.Clients, "n1", nil},
		DiscoveryLink:  {"n1", scenario.Discovery, []audit.EventKind{audit.Unreachable, audit.ReachableAgain}},
	} {
		var events []audit.EventKind
		sink := func(e audit.Event) error { events = append(events, e.Kind); return nil }
		environment, err := harness.NewEnvironment(t.Context(), s.Plan(1), slog.New(slog.DiscardHandler), sink)
		if err != nil {
			t.Fatal(err)
		}
		links := netfault.New(1)
		addr, err := links.TCP(c.from, c.to, "127.0.0.1", target.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		p := &player{cluster: &Cluster{
			Net: links, Environment: environment, Names: []string{"n0", "n1"},
			agents: []*agentProcess{{name: "a0"}, {name: "a1"}, {name: "a2"}},
		}}
		undo := p.executeAction(Action{Kind: kind, Agent: 1, Other: 2, Sender: 1, State: netfault.State{Cut: true}})
		if passes(addr) {
			t.Errorf("%s: the link passes data", kind)
		}
		undo()
		if !passes(addr) {
			t.Errorf("%s: the link is not healed", kind)
		}
		if !slices.Equal(events, c.events) {
			t.Errorf("%s: events %v, want %v", kind, events, c.events)
		}
		links.Close()
		environment.Close()
	}
}

// passes reports whether a greeting arrives through a link.
func passes(addr string) bool {
	c, err := net.DialTimeout("tcp4", addr, 10*time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	text, _ := bufio.NewReader(c).ReadString('\n')
	return text == "hello\n"
}

// TestOrderError checks that an order that an agent answered without executing it becomes an OrderError with the kind
// and text of the agent's answer.
func TestOrderError(t *testing.T) {
	if err := orderError(agent.CommandResult{Index: 3}); err != nil {
		t.Errorf("carried out: %v", err)
	}
	err := orderError(agent.CommandResult{Kind: agent.KindRejected, Text: "no such plan"})
	failed, ok := err.(*OrderError)
	if !ok || failed.Kind != agent.KindRejected || err.Error() != "refused: no such plan" {
		t.Errorf("rejected: %#v", err)
	}
}
