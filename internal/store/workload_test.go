package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// workload appends records that create, extend and end entities at random, and tracks the expected content of the
// store.
type workload struct {
	rng        *rand.Rand
	next       uint64
	live       map[uint64][]string // data of the acknowledged records by entity
	ids        []uint64
	lastEntity uint64 // entity of the latest append, which may have failed
}

func newWorkload(seed uint64) *workload {
	return &workload{rng: rand.New(rand.NewPCG(seed, 1)), next: 1, live: map[uint64][]string{}}
}

// step makes one append and returns its error.
func (l *workload) step(s *Store) error {
	if len(l.ids) > 0 && (len(l.ids) > 150 || l.rng.IntN(5) < 2) {
		i := l.rng.IntN(len(l.ids))
		id := l.ids[i]
		l.lastEntity = id
		if err := s.Append(Record{Entity: id, Kind: End}); err != nil {
			return err
		}
		delete(l.live, id)
		l.ids = slices.Delete(l.ids, i, i+1)
		return nil
	}
	if len(l.ids) > 0 && l.rng.IntN(2) == 0 {
		id := l.ids[l.rng.IntN(len(l.ids))]
		text := fmt.Sprint("more ", l.rng.IntN(1000))
		l.lastEntity = id
		r := Record{Entity: id, Time: int64(id), Destination: int64(id % 7), Key: fmt.Sprint("k", id%50), Data: []byte(text)}
		if l.rng.IntN(4) == 0 {
			r.Kind = Replace
		}
		if err := s.Append(r); err != nil {
			return err
		}
		if r.Kind == Replace {
			l.live[id] = nil
		}
		l.live[id] = append(l.live[id], text)
		return nil
	}
	id := l.next
	l.next++
	l.lastEntity = id
	text := strings.Repeat(strconv.Itoa(int(id)%10), 50+l.rng.IntN(600))
	if err := s.Append(Record{Entity: id, Time: int64(id), Destination: int64(id % 7), Key: fmt.Sprint("k", id%50),
		Data: []byte(text)}); err != nil {
		return err
	}
	l.live[id] = []string{text}
	l.ids = append(l.ids, id)
	return nil
}

// checkContent checks that a store contains exactly the acknowledged records. The uncertain entity may also have the
// record of a failed append; 0 means that there is none.
func (l *workload) checkContent(t *testing.T, s *Store, stage string, uncertain uint64) {
	t.Helper()
	seen := 0
	s.Entities(func(e Entity) bool {
		want, live := l.live[e.ID]
		if !live && e.ID != uncertain {
			t.Errorf("%s: ended or unknown entity %d is live", stage, e.ID)
			return false
		}
		if live {
			seen++
		}
		list, err := s.Load(e.ID)
		if err != nil {
			t.Errorf("%s: entity %d: %v", stage, e.ID, err)
			return false
		}
		var got []string
		for _, r := range list {
			got = append(got, string(r.Data))
		}
		if e.ID != uncertain && !slices.Equal(got, want) {
			t.Errorf("%s: entity %d has %d records, want %d", stage, e.ID, len(got), len(want))
		}
		if e.ID != uncertain && live && (e.Time != int64(e.ID) || e.Dest != int64(e.ID%7) ||
			e.Key != fmt.Sprint("k", e.ID%50)) {
			t.Errorf("%s: entity %d reads as %+v", stage, e.ID, e)
		}
		return !t.Failed()
	})
	missing := len(l.live) - seen
	if _, was := l.live[uncertain]; was && missing == 1 {
		missing = 0 // its End record was written
	}
	if missing != 0 {
		t.Errorf("%s: %d entities are missing", stage, missing)
	}
}

// endUncertain ends the entity whose latest append may have failed.
func (l *workload) endUncertain(t *testing.T, s *Store, uncertain uint64) {
	t.Helper()
	if err := s.Append(Record{Entity: uncertain, Kind: End}); err != nil {
		t.Fatal(err)
	}
	delete(l.live, uncertain)
	l.ids = slices.DeleteFunc(l.ids, func(id uint64) bool { return id == uncertain })
}
