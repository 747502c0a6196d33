// Package timeline has a queue of what is to happen, in the order of time.
package timeline

import (
	"container/heap"
	"time"
)

// Queue gives out the item with the earliest time first; of those of one time, the
// one with the lowest order. The zero value is empty and ready.
type Queue[T any] struct{ items items[T] }

type item[T any] struct {
	at    time.Duration
	order uint64
	value T
}

type items[T any] []item[T]

func (q items[T]) Len() int { return len(q) }
func (q items[T]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q items[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items[T]) Push(x any)   { *q = append(*q, x.(item[T])) }
func (q *items[T]) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = item[T]{}
	*q = old[:len(old)-1]
	return x
}

// Push puts an item in.
func (q *Queue[T]) Push(at time.Duration, order uint64, v T) {
	heap.Push(&q.items, item[T]{at, order, v})
}

// First looks at the item that comes next; false where there is none.
func (q *Queue[T]) First() (at time.Duration, v T, some bool) {
	if len(q.items) == 0 {
		return 0, v, false
	}
	return q.items[0].at, q.items[0].value, true
}

// Pop takes that item out. The queue must not be empty.
func (q *Queue[T]) Pop() (time.Duration, T) {
	x := heap.Pop(&q.items).(item[T])
	return x.at, x.value
}
