package state

import (
	"fmt"
	"testing"
	"time"

	"cleathold/control"
)

// BenchmarkMessage measures a message from its submission to its delivery, with and without a dead-letter queue: the
// cost of the queue for messages that are delivered.
func BenchmarkMessage(b *testing.B) {
	for _, withQueue := range []bool{false, true} {
		b.Run(fmt.Sprintf("queue=%t", withQueue), func(b *testing.B) {
			dir := b.TempDir()
			classes := []control.Class{testClass(control.Idempotent)}
			target := Target{ID: "s", Addr: "nowhere", Endpoint: control.Endpoint{Destination: 7, State: control.Ready}}
			setup := Setup{
				Settings: control.Settings{FleetSize: 1, Classes: classes, Kinds: []control.Kind{{MaxBatch: 1}}, MaxInFlight: 64,
					MaxOpenMessages: 256, HeadroomIndex: -1, LimitIndex: -1},
				Dir: dir, MaxDiskBytes: 8e6, Log: discardLog, InitialList: ListUpdate{Kind: control.ListCached, Version: 1,
					Targets: []Target{target}},
			}
			if withQueue {
				setup.DeadLetters = newQueueStub(true)
			}
			l, err := NewLoop(setup)
			if err != nil {
				b.Fatal(err)
			}
			transport := &transportStub{}
			l.Connect(transport, transport, transport)
			l.timer = time.NewTimer(time.Hour)
			l.iterate()
			body := make([]byte, 200)
			response := make(chan Response, 1)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				id := fmt.Sprint(n)
				m := &Message{ID: id, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: body}
				l.backlog = append(l.backlog, Submitted{Message: m, Response: response})
				l.iterate()
				if v := <-response; !v.Accepted {
					b.Fatalf("%+v", v)
				}
				l.backlog = append(l.backlog, ResponseWritten{id, true})
				l.iterate()
				l.backlog = append(l.backlog, endedWith(transport.last, AttemptResult{Result: control.Served, Final: true}))
				l.iterate()
			}
		})
	}
}

type transportStub struct{ last *Call }

func (t *transportStub) Send(call *Call)               { t.last = call }
func (t *transportStub) Cancel(*Call)                  {}
func (t *transportStub) CancelUnsent(*Call)            {}
func (t *transportStub) HealthCheck(Target, time.Time) {}
func (t *transportStub) Watch(bool, int64)             {}
func (t *transportStub) Fetch()                        {}
func (t *transportStub) Report(DeliveryReport)         {}
