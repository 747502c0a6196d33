package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Random histories with kills and power failures are run on the store and on a model, a map of the acknowledged
// records. The content of both must always be equal. rapid shrinks a history that fails.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemoryFS()
		open := func() *Store {
			s, err := Open(Options{FS: m, Budget: 48 << 10, Segment: 3 << 10, Durability: EachAppend})
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		s := open()
		live, next := map[uint64][]string{}, uint64(1)
		ids := func() []uint64 {
			list := make([]uint64, 0, len(live))
			for id := range live {
				list = append(list, id)
			}
			slices.Sort(list)
			return list
		}
		appendRecord := func(r Record) {
			if err := s.Append(r); err != nil {
				t.Fatalf("%+v: %v, %+v", r, err, s.Stats())
			}
			switch r.Kind {
			case End:
				delete(live, r.Entity)
			case Replace:
				live[r.Entity] = []string{string(r.Data)}
			default:
				live[r.Entity] = append(live[r.Entity], string(r.Data))
			}
		}
		data := func() []byte { return make([]byte, rapid.IntRange(0, 900).Draw(t, "size")) }
		anyLive := func() uint64 { return rapid.SampledFrom(ids()).Draw(t, "entity") }
		reopen := func() {
			s = open()
			if next <= s.HighestEntityID() && s.HighestEntityID() > 0 {
				next = s.HighestEntityID() + 1
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) {
				if len(live) >= 12 {
					t.Skip("too many live entities")
				}
				appendRecord(Record{Entity: next, Key: fmt.Sprint(next), Data: data()})
				next++
			},
			"more": func(*rapid.T) {
				if len(live) == 0 {
					t.Skip("none")
				}
				id := anyLive()
				kind := Put
				if len(live[id]) > 3 || rapid.Bool().Draw(t, "base") {
					kind = Replace
				}
				appendRecord(Record{Entity: id, Kind: kind, Data: data()})
			},
			"end": func(*rapid.T) {
				if len(live) == 0 {
					t.Skip("none")
				}
				appendRecord(Record{Entity: anyLive(), Kind: End})
			},
			"restart": func(*rapid.T) { s.Close(); reopen() },
			"kill":    func(*rapid.T) { reopen() },
			"power failure": func(*rapid.T) {
				m.cutPower(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "power failure seed"), 1)))
				reopen()
			},
			"": func(*rapid.T) {
				if m.peakBytes > 48<<10 {
					t.Fatalf("files took %d bytes", m.peakBytes)
				}
				var stored []uint64
				s.Entities(func(e Entity) bool { stored = append(stored, e.ID); return true })
				if !slices.Equal(stored, ids()) {
					t.Fatalf("live %v, want %v", stored, ids())
				}
				for id, want := range live {
					list, err := s.Load(id)
					var got []string
					for _, r := range list {
						got = append(got, string(r.Data))
					}
					if err != nil || !slices.Equal(got, want) {
						t.Fatalf("entity %d: %d records of %d, %v", id, len(got), len(want), err)
					}
				}
			},
		})
	})
}
