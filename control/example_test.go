package control_test

import (
	"fmt"
	"time"

	"cleathold/control"
)

// printingHost is a host that prints some of the requested actions.
type printingHost struct{}

func (printingHost) Send(id control.MessageID, to control.EndpointID, _ time.Duration) {
	fmt.Printf("send message %d to endpoint %d\n", id, to)
}
func (printingHost) Cancel(control.MessageID, int) {}
func (printingHost) Reject(id control.MessageID, _ time.Duration) {
	fmt.Printf("reject message %d\n", id)
}
func (printingHost) Fail(id control.MessageID)      { fmt.Printf("fail message %d\n", id) }
func (printingHost) HealthCheck(control.EndpointID) {}
func (printingHost) Disconnect(control.EndpointID)  {}
func (printingHost) WatchEndpoints(bool)            {}
func (printingHost) FetchEndpoints()                {}
func (printingHost) SetTimer(time.Duration, uint32) {}
func (printingHost) Gossip(control.Observation)     {}
func (printingHost) Log(string)                     {}

// The host makes the calls and provides the time. The controller makes the decisions.
func Example() {
	c, err := control.New(control.Settings{
		FleetSize: 1, MaxInFlight: 1, HeadroomIndex: -1, LimitIndex: -1,
		Classes: []control.Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}},
		Kinds:   []control.Kind{{MaxBatch: 1}},
	}, printingHost{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second
	c.UpdateEndpoints(now, control.ListFull, []control.Endpoint{{ID: 40, Destination: 3, State: control.Ready}})
	c.Submit(now, control.Message{ID: 1, Destination: 3, TimeLeft: 10 * time.Second})
	c.Submit(now, control.Message{ID: 2, Destination: 3, TimeLeft: 10 * time.Second})
	c.Decide(now)
	now += 80 * time.Millisecond
	c.AttemptDone(now, control.Outcome{ID: 1, Endpoint: 40, Result: control.Served, Elapsed: 80 * time.Millisecond,
		Final: true})
	c.Decide(now)
	// Output:
	// send message 1 to endpoint 40
	// send message 2 to endpoint 40
}
