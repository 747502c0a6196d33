// Package timeline has a queue of what is to happen, in the order of time. It knows no clock: its users say what a
// time is counted from.
package timeline

import (
	"container/heap"
	"time"
)

// Queue gives out the item with the earliest time first; of those of one time, the one with the lowest order. The
// zero value is empty and ready to use. It is not safe for concurrent use.
type Queue[T any] struct{ items items[T] }

type item[T any] struct {
	at    time.Duration
	order uint64
	value T
}

// items implement heap.Interface.
type items[T any] []item[T]

func (q items[T]) Len() int { return len(q) }

func (q items[T]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q items[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *items[T]) Push(x any) { *q = append(*q, x.(item[T])) }

func (q *items[T]) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = item[T]{} // the array must not keep the value alive
	*q = old[:len(old)-1]
	return x
}

// Push adds an item.
func (q *Queue[T]) Push(at time.Duration, order uint64, value T) {
	heap.Push(&q.items, item[T]{at, order, value})
}

// First returns the item that comes next, and leaves it in the queue; false where the queue is empty.
func (q *Queue[T]) First() (at time.Duration, value T, ok bool) {
	if len(q.items) == 0 {
		return 0, value, false
	}
	return q.items[0].at, q.items[0].value, true
}

// Pop removes the item that comes next, and returns it. The queue must not be empty.
func (q *Queue[T]) Pop() (time.Duration, T) {
	x := heap.Pop(&q.items).(item[T])
	return x.at, x.value
}
