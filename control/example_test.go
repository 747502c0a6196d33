package control_test

import (
	"fmt"
	"time"

	"cleathold/control"
)

// printer is a host that prints what it is asked to do.
type printer struct{}

func (printer) Send(id control.MessageID, to control.EndpointID, _ time.Duration) {
	fmt.Printf("send message %d to endpoint %d\n", id, to)
}
func (printer) Cancel(control.MessageID, int)                {}
func (printer) Refuse(id control.MessageID, _ time.Duration) { fmt.Printf("refuse message %d\n", id) }
func (printer) Fail(id control.MessageID)                    { fmt.Printf("fail message %d\n", id) }
func (printer) Probe(control.EndpointID)                     {}
func (printer) Disconnect(control.EndpointID)                {}
func (printer) Watch(bool)                                   {}
func (printer) Fetch()                                       {}
func (printer) Wake(time.Duration, uint32)                   {}
func (printer) Tell(control.Note)                            {}
func (printer) Log(string)                                   {}

// A host owns the calls and the clock; the controller decides.
func Example() {
	c, err := control.New(control.Settings{
		Siblings: 1, Slots: 1, ReportShare: -1, ReportLimit: -1,
		Classes: []control.Class{{Aim: time.Second, Deadline: 10 * time.Second, Worth: 1}},
		Kinds:   []control.Kind{{Batch: 1}},
	}, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second
	c.Endpoints(now, control.ListFull, []control.Endpoint{{ID: 40, Destination: 3, State: control.Ready}})
	c.Arrive(now, control.Message{ID: 1, Destination: 3, Remaining: 10 * time.Second})
	c.Arrive(now, control.Message{ID: 2, Destination: 3, Remaining: 10 * time.Second})
	c.Decide(now)
	now += 80 * time.Millisecond
	c.Done(now, control.Outcome{ID: 1, Endpoint: 40, Result: control.Served, Took: 80 * time.Millisecond, Finished: true})
	c.Decide(now)
	// Output:
	// send message 1 to endpoint 40
	// send message 2 to endpoint 40
}
