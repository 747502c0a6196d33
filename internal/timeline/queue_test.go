package timeline

import (
	"strings"
	"testing"
	"time"
)

// Items are returned sorted by time, and by order for equal times, regardless of the order in which they were added.
func TestQueue(t *testing.T) {
	var q Queue[string]
	if _, _, ok := q.First(); ok {
		t.Error("an empty queue has a first item")
	}
	for _, x := range []struct {
		at    time.Duration
		order uint64
		value string
	}{{3, 1, "e"}, {2, 4, "c"}, {1, 9, "a"}, {2, 5, "d"}, {2, 3, "b"}, {3, 2, "f"}} {
		q.Push(x.at, x.order, x.value)
	}
	var got strings.Builder
	var last time.Duration
	for {
		first, value, ok := q.First()
		if !ok {
			break
		}
		at, popped := q.Pop()
		if at != first || popped != value || at < last {
			t.Errorf("%q at %v, first %q at %v, after %v", popped, at, value, first, last)
		}
		last = at
		got.WriteString(popped)
	}
	if got.String() != "abcdef" {
		t.Errorf("order %q", got.String())
	}
}
