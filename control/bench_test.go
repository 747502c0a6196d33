package control

import (
	"fmt"
	"testing"
	"time"
)

// noopHost is a host that ignores all actions.
type noopHost struct{}

func (noopHost) Send(MessageID, EndpointID, time.Duration) {}
func (noopHost) Cancel(MessageID, int)                     {}
func (noopHost) Reject(MessageID, time.Duration)           {}
func (noopHost) Fail(MessageID)                            {}
func (noopHost) HealthCheck(EndpointID)                    {}
func (noopHost) Disconnect(EndpointID)                     {}
func (noopHost) WatchEndpoints(bool)                       {}
func (noopHost) FetchEndpoints()                           {}
func (noopHost) SetTimer(time.Duration, uint32)            {}
func (noopHost) Log(string)                                {}
func (noopHost) Gossip(Observation)                        {}

// BenchmarkEvent measures the submission of a message and the decision after it while the given number of destinations
// have waiting messages.
func BenchmarkEvent(b *testing.B) {
	for _, busy := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(busy), func(b *testing.B) {
			cfg := testSettings()
			cfg.FleetSize, cfg.CanGossip, cfg.WeightKind, cfg.MaxOpenMessages = 80, true, WeightsApproximate, 0
			cfg.HeadroomIndex, cfg.LimitIndex = -1, -1
			c, err := New(cfg, noopHost{})
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
			for range 3 * busy { // exceeds the slots, so that messages wait
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
