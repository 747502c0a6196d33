// Package connbudget divides the memory and the connections that clients may use, and decides which request must give
// way when they run short: an incomplete one, and of these the one that has used most. It does no I/O, and time is a
// parameter.
package connbudget

import (
	"container/list"
	"sync"
	"time"
)

const (
	// memoryDivisor sets the share of the memory limit for the buffers of requests. The Go heap may grow to twice of what
	// is in use, and the messages, the endpoints and the program itself need memory, too.
	memoryDivisor = 8
	// connectionBytes is the memory that a connection uses without the buffers of its request: goroutine stack, read
	// buffer, and what the runtime keeps for the socket.
	connectionBytes = 24 << 10
	// defaultMemoryMB is used if the configuration sets no memory limit.
	defaultMemoryMB = 192

	// evictionsPerCore is the number of connections that one core accepts and closes again in a second while it has time
	// for other work, and readsPerCore the number of reads that return little data.
	evictionsPerCore = 4000
	readsPerCore     = 4000

	// maxPatience is how long at most a connection may be without a whole request before it gives way to a new one. Whole
	// requests arrive within this time.
	maxPatience = 100 * time.Millisecond

	// busyDivisor sets the share of the connections without a whole request from which on these alone give way.
	busyDivisor = 8
)

// Limits are the limits that all connections of clients share.
type Limits struct {
	Connections        int     // connections served at once
	BufferBytes        int64   // buffers of requests that are read or answered
	EvictionsPerSecond float64 // incomplete requests that give way to new connections
	ReadsPerSecond     float64 // reads that return little data
}

// Patience returns how long a connection may be without a whole request before it gives way to a new one. With few
// connections it is short, because each new connection waits for one of them.
func (l Limits) Patience() time.Duration { return min(maxPatience, l.evictionTime(l.Connections)) }

// evictionTime returns the time in which a number of connections may be evicted.
func (l Limits) evictionTime(connections int) time.Duration {
	return time.Duration(float64(connections) / l.EvictionsPerSecond * float64(time.Second))
}

// KeepsIdle reports whether connections that wait for another request are kept while others, whose number is given, are
// without a whole request. Enough of these give way before long.
func (l Limits) KeepsIdle(withoutRequest int) bool { return withoutRequest > l.Connections/busyDivisor }

// ForProcess returns the limits for a process with a number of cores, an amount of memory, and descriptors for a number
// of connections. Zero cores means one, zero memory means defaultMemoryMB.
func ForProcess(cores, memoryMB float64, connections int) Limits {
	if cores <= 0 {
		cores = 1
	}
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	share := int64(memoryMB * (1 << 20) / memoryDivisor)
	return Limits{
		Connections: max(1, min(connections, int(share/connectionBytes))), BufferBytes: share,
		EvictionsPerSecond: evictionsPerCore * cores, ReadsPerSecond: readsPerCore * cores,
	}
}

// A Reason is why a request was refused before it was complete.
type Reason int32

// The reasons.
const (
	NotRefused       Reason = iota
	ShortMemory             // the buffers of all requests together exceed their limit
	ShortConnections        // a new connection needs the place
)

// A Request is what a connection uses for the request that it reads or answers. The zero value is one without a
// request. Its fields are guarded by the budget's mutex.
type Request struct {
	// Interrupt is called when the request is refused, with the budget locked. It must not block.
	Interrupt func(Reason)
	// Read reports whether all bytes of the request that have arrived were read; nil means that they were. Until then the
	// connection isn't evicted. It is called with the budget locked.
	Read func() bool

	since   time.Time     // when its first byte arrived
	bytes   int64         // of its buffers
	element *list.Element // in the incomplete requests of the budget; nil if it is not one of them
}

// usage returns how much of the memory an incomplete request has used for how long, in byte-seconds.
func (r *Request) usage(now time.Time) float64 { return float64(r.bytes) * now.Sub(r.since).Seconds() }

// A Budget holds the limits and their use. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu         sync.Mutex
	incomplete list.List // requests that are not completely read, the oldest first
	bytes      int64     // of all requests
	peakBytes  int64
	refused    [ShortConnections + 1]int64
}

// New returns a budget with the given limits.
func New(l Limits) *Budget { return &Budget{limits: l} }

// Limits returns the limits.
func (b *Budget) Limits() Limits {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits
}

// SetLimits replaces the limits. Requests beyond new ones are refused when the next buffer is needed.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// Begin counts a request from now on as incomplete, also if it was before.
func (b *Budget) Begin(r *Request, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(r, now)
}

func (b *Budget) begin(r *Request, now time.Time) {
	b.complete(r)
	r.since, r.element = now, b.incomplete.PushBack(r)
}

// Reserve adds bytes to the buffers of an incomplete request, and refuses others if these exceed the limit. It reports
// false if the request itself must give way.
func (b *Budget) Reserve(r *Request, bytes int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.bytes += bytes
	b.bytes += bytes
	for b.bytes > b.limits.BufferBytes {
		largest := b.largest(r, now)
		b.refuse(largest, ShortMemory)
		if largest == r {
			return false
		}
	}
	b.peakBytes = max(b.peakBytes, b.bytes)
	return true
}

// largest returns the incomplete request that has used most, r or another one.
func (b *Budget) largest(r *Request, now time.Time) *Request {
	largest, most := r, r.usage(now)
	for e := b.incomplete.Front(); e != nil; e = e.Next() {
		other := e.Value.(*Request)
		if usage := other.usage(now); usage > most {
			largest, most = other, usage
		}
	}
	return largest
}

// EvictOldest refuses the request that has been incomplete for longest, for the place of its connection. It reports
// false if none is old enough: the more requests are incomplete, the longer each may take, so that evictions leave time
// for other work.
func (b *Budget) EvictOldest(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	minAge := max(b.limits.Patience(), b.limits.evictionTime(b.incomplete.Len()))
	for front := b.incomplete.Front(); front != nil; front = b.incomplete.Front() {
		oldest := front.Value.(*Request)
		if now.Sub(oldest.since) < minAge {
			return false
		}
		if oldest.Read == nil || oldest.Read() {
			b.refuse(oldest, ShortConnections)
			return true
		}
		b.begin(oldest, now)
	}
	return false
}

// refuse ends the part of a request in the budget. Its connection frees the memory a little later.
func (b *Budget) refuse(r *Request, reason Reason) {
	b.end(r)
	b.refused[reason]++
	r.Interrupt(reason)
}

// Complete counts a request as completely read: it can't be refused any more.
func (b *Budget) Complete(r *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete(r)
}

func (b *Budget) complete(r *Request) {
	if r.element != nil {
		b.incomplete.Remove(r.element)
		r.element = nil
	}
}

// End ends a request: its connection uses no buffers any more.
func (b *Budget) End(r *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(r)
}

func (b *Budget) end(r *Request) {
	b.complete(r)
	b.bytes -= r.bytes
	r.bytes = 0
}

// OldestSince returns since when the oldest incomplete request has been incomplete. It reports false if there is none.
func (b *Budget) OldestSince() (since time.Time, incomplete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if front := b.incomplete.Front(); front != nil {
		return front.Value.(*Request).since, true
	}
	return time.Time{}, false
}

// Incomplete returns the number of requests that are not completely read.
func (b *Budget) Incomplete() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incomplete.Len()
}

// ReadPause returns how long a connection waits before it reads more of an incomplete request of which little has
// arrived, so that all connections together make no more reads than the limit.
func (b *Budget) ReadPause() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.incomplete.Len()) / b.limits.ReadsPerSecond * float64(time.Second))
}

// Use is the use of a budget.
type Use struct {
	Incomplete       int   `json:"incomplete"`        // requests being read
	BufferBytes      int64 `json:"buffer_bytes"`      // of the requests being read or answered
	PeakBufferBytes  int64 `json:"peak_buffer_bytes"` // the same at its highest
	MaxBufferBytes   int64 `json:"max_buffer_bytes"`
	MaxConnections   int   `json:"max_connections"`
	ShortMemory      int64 `json:"short_memory"`      // requests refused as their buffers were needed
	ShortConnections int64 `json:"short_connections"` // requests refused as their connections were needed
}

// Use returns the current use.
func (b *Budget) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Use{
		Incomplete: b.incomplete.Len(), BufferBytes: b.bytes, PeakBufferBytes: b.peakBytes,
		MaxBufferBytes: b.limits.BufferBytes, MaxConnections: b.limits.Connections,
		ShortMemory: b.refused[ShortMemory], ShortConnections: b.refused[ShortConnections],
	}
}
