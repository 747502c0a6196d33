package control

import (
	"fmt"
	"testing"
	"time"
)

// idle is a host that does nothing.
type idle struct{}

func (idle) Send(MessageID, EndpointID, time.Duration) {}
func (idle) Cancel(MessageID, int)                     {}
func (idle) Reject(MessageID, time.Duration)           {}
func (idle) Fail(MessageID)                            {}
func (idle) HealthCheck(EndpointID)                    {}
func (idle) Disconnect(EndpointID)                     {}
func (idle) Watch(bool)                                {}
func (idle) Fetch()                                    {}
func (idle) SetTimer(time.Duration, uint32)            {}
func (idle) Log(string)                                {}
func (idle) Gossip(Observation)                        {}

// BenchmarkEvent measures an event, a message and the decision after it, with so many destinations that have messages
// waiting.
func BenchmarkEvent(b *testing.B) {
	for _, busy := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(busy), func(b *testing.B) {
			set := settings()
			set.FleetSize, set.CanGossip, set.WeightKind, set.MaxOpenMessages = 80, true, WeightsApproximate, 0
			set.HeadroomIndex, set.LimitIndex = -1, -1
			c, err := New(set, idle{})
			if err != nil {
				b.Fatal(err)
			}
			list := make([]Endpoint, 2*busy)
			for i := range list {
				list[i] = Endpoint{ID: EndpointID(i + 1), Destination: i / 2, State: Ready, Weight: 0.1}
			}
			now := time.Hour
			c.UpdateEndpoints(now, ListFull, list)
			id := MessageID(0)
			for range 3 * busy { // more than the slots: the rest waits
				id++
				c.Submit(now, Message{ID: id, Class: 0, Destination: int(id) % busy, TimeLeft: 8 * time.Second})
				c.Decide(now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				id++
				now += time.Microsecond
				c.Submit(now, Message{ID: id, Class: 0, Destination: int(id) % busy, TimeLeft: 8 * time.Second})
				c.Decide(now)
				c.Abandon(now, id)
			}
		})
	}
}
