// Package timeline provides a priority queue of items ordered by time. It uses no clock; callers choose the origin of
// the times.
package timeline

import (
	"container/heap"
	"time"
)

// Queue is a priority queue that returns the item with the earliest time first. Among items with the same time it
// returns the one with the lowest order. The zero value is an empty queue that is ready to use. It is not safe for
// concurrent use.
type Queue[T any] struct{ items items[T] }

type item[T any] struct {
	at    time.Duration
	order uint64
	value T
}

// items implements heap.Interface.
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
	old[len(old)-1] = item[T]{} // release the value for garbage collection
	*q = old[:len(old)-1]
	return x
}

// Push adds an item.
func (q *Queue[T]) Push(at time.Duration, order uint64, value T) {
	heap.Push(&q.items, item[T]{at, order, value})
}

// First returns the next item without removing it. It returns false for ok if the queue is empty.
func (q *Queue[T]) First() (at time.Duration, value T, ok bool) {
	if len(q.items) == 0 {
		return 0, value, false
	}
	return q.items[0].at, q.items[0].value, true
}

// Pop removes and returns the next item. The queue must not be empty.
func (q *Queue[T]) Pop() (time.Duration, T) {
	x := heap.Pop(&q.items).(item[T])
	return x.at, x.value
}
