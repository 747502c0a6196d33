package state

import (
	"fmt"
	"testing"
	"time"

	"cleathold/control"
)

// A message through the loop, from its hand-in to its delivery, with a keeper
// connected and without: what keeping costs those that are delivered.
func BenchmarkMessage(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("keeper=%t", on), func(b *testing.B) {
			dir := b.TempDir()
			classes := []control.Class{{Aim: time.Second, Deadline: time.Minute, Worth: 1, Effect: control.Safe}}
			target := Target{ID: "s", Addr: "nowhere", Endpoint: control.Endpoint{Destination: 7, State: control.Ready}}
			setup := Setup{
				Settings: control.Settings{Siblings: 1, Classes: classes, Kinds: []control.Kind{{Batch: 1}}, Slots: 64, HoldCap: 256, ReportShare: -1, ReportLimit: -1},
				Dir:      dir, DiskBytes: 8e6, Log: quiet, Known: News{Form: control.ListCached, Version: 1, Targets: []Target{target}},
			}
			if on {
				setup.Keeper = newKeeperStub(true)
			}
			l, err := NewLoop(setup)
			if err != nil {
				b.Fatal(err)
			}
			c := &carrierStub{}
			l.Connect(c, c, c)
			l.timer = time.NewTimer(time.Hour)
			l.turn()
			body := make([]byte, 200)
			verdict := make(chan Verdict, 1)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				id := fmt.Sprint(n)
				l.backlog = append(l.backlog, Handed{Message: &Message{ID: id, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: body}, Verdict: verdict})
				l.turn()
				if v := <-verdict; !v.Taken {
					b.Fatalf("%+v", v)
				}
				l.backlog = append(l.backlog, Answered{id, true})
				l.turn()
				l.backlog = append(l.backlog, Ended{c.last, []End{{Forward: c.last.Forwards[0], Result: control.Served, Finished: true}}})
				l.turn()
			}
		})
	}
}

type carrierStub struct{ last *Call }

func (c *carrierStub) Carry(call *Call)        { c.last = call }
func (c *carrierStub) Abandon(*Call)           {}
func (c *carrierStub) Withhold(*Call)          {}
func (c *carrierStub) Probe(Target, time.Time) {}
func (c *carrierStub) Disconnect(string)       {}
func (c *carrierStub) Watch(bool, int64)       {}
func (c *carrierStub) Fetch()                  {}
func (c *carrierStub) Tell(Notice)             {}
