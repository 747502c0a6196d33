// Drain plays the replacement of an endpoint at a site whose lists are pushed to an agent on the sender's machine: it
// drains and is removed, and an endpoint of another receiver takes its address.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"cleathold/review/world"
)

const (
	quietTime = 6 * time.Second // ordinary traffic before the drain
	drainTime = 4 * time.Second // the endpoint drains for so long before it is removed
	afterTime = 10 * time.Second
	grace     = 550 * time.Millisecond // guarantees.drain-grace-ms, and 50 ms on sockets
)

func main() { world.Main(run) }

func run(c *world.Case) (int, error) {
	agent, err := c.NewPlatform()
	if err != nil {
		return 0, err
	}
	answer := func(*world.Call) world.Answer { time.Sleep(200 * time.Millisecond); return world.Answer{} }
	var endpoints []*world.Endpoint
	for i, zone := range []string{"hall-a", "hall-b", "hall-c", "hall-b"} {
		e, err := c.NewEndpoint(fmt.Sprintf("s-%d", i), 1+i/2, "customer", zone, 10, answer)
		if err != nil {
			return 0, err
		}
		agent.Set(e, "up")
		endpoints = append(endpoints, e)
	}
	_, clients, err := c.StartSender("n0", agent, world.LjubljanaCampus())
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	n := 0
	traffic := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); n++ {
			s := &world.Submission{
				ID: fmt.Sprintf("to-1-%d", n), Class: "tile-ready", Dest: 1, Deadline: 28 * time.Second, Body: []byte("tile"),
			}
			if n%4 == 1 {
				s.Dest, s.ID = 2, fmt.Sprintf("to-2-%d", n)
			}
			if n%6 == 0 {
				s.Class, s.Deadline = "order-status", 20*time.Second
			}
			if s.Class == "tile-ready" {
				s.Key = "key-" + s.ID
			}
			wg.Go(func() { clients.Submit(s) })
			time.Sleep(100 * time.Millisecond)
		}
	}
	traffic(quietTime)
	leaving := endpoints[0] // of receiver 1
	var told time.Time
	var heir *world.Endpoint // of receiver 2
	if c.Trouble {
		agent.Set(leaving, "draining") // the agent has it at once, so from now on the sender counts as told
		told = time.Now()
		traffic(drainTime)
		agent.Set(leaving, "removed")
		leaving.Close()
		heir, err = c.NewEndpointAt(leaving.Addr, "s-9", 2, "customer", "hall-a", 10, answer)
		if err != nil {
			return 0, err
		}
		agent.Set(heir, "up")
	}
	traffic(afterTime)
	wg.Wait()
	time.Sleep(time.Second)
	c.Note("the agent was asked %d times", agent.Polls())
	if !c.Trouble {
		return world.Held, nil
	}
	late, foreign := 0, 0
	for _, call := range leaving.Calls() {
		if !call.Probe && call.First.After(told.Add(grace)) {
			late++
			c.Note("DRAIN: call %s to %s began %v after the sender was told that it drains", call.IDs(), leaving.ID,
				call.First.Sub(told).Round(time.Millisecond))
		}
	}
	for _, call := range heir.Calls() {
		if ids := call.IDs(); strings.Contains(ids, "to-1-") {
			foreign++
			c.Note("FOREIGN: call %s reached %s of receiver 2, at the address that %s of receiver 1 had, %v after the drain",
				ids, heir.ID, leaving.ID, call.First.Sub(told).Round(time.Millisecond))
		}
	}
	c.Note("%d calls to the draining endpoint after the grace, %d calls for receiver 1 to an endpoint of receiver 2",
		late, foreign)
	if late+foreign > 0 {
		return world.Broken, nil
	}
	return world.Held, nil
}
