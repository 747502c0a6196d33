package protocol

import "container/list"

// A waitQueue holds the connections that wait for a request and may be evicted, those that have waited longest first. It
// is guarded by the listener's mutex.
type waitQueue struct {
	unused list.List // connections that never had a request
	used   list.List // connections that had one
}

// of returns the list for connections that had a request before, or for those that never had one.
func (q *waitQueue) of(used bool) *list.List {
	if used {
		return &q.used
	}
	return &q.unused
}

// push adds a connection that begins to wait.
func (q *waitQueue) push(c *clientConn) {
	q.remove(c)
	c.waitingIn = q.of(c.used)
	c.waitElement = c.waitingIn.PushBack(c)
}

// remove removes a connection. It has no effect on one that is not in the queue.
func (q *waitQueue) remove(c *clientConn) {
	if c.waitElement != nil {
		c.waitingIn.Remove(c.waitElement)
		c.waitingIn, c.waitElement = nil, nil
	}
}

// oldest returns the connection that has waited longest, or nil if there is none.
func (q *waitQueue) oldest(used bool) *clientConn {
	front := q.of(used).Front()
	if front == nil {
		return nil
	}
	return front.Value.(*clientConn)
}
