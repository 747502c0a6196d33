package state

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cleathold/control"
)

// The loop ends overdue messages (endOverdue), but it can't while it hangs in a call of the system, as in a write to a
// disk that does not answer, or while another process is to take over its state and does not. A reportGuard reports the
// messages that are due then. It runs on a goroutine of its own, and never waits for the loop. It sleeps until the first
// open message is due, as a sender without work must not use the processor.

// guardDelay is how long after its deadline a message is reported by the guard. It exceeds overdueDelay plus the time
// between two iterations, so that a running loop always comes first.
const guardDelay = 230 * time.Millisecond

// maxGuardSleep is how long the guard sleeps while there are no messages.
const maxGuardSleep = time.Hour

// reportGuard holds the accepted messages that have not ended. Its methods are safe for concurrent use.
type reportGuard struct {
	earlier chan struct{} // receives a value when a message is added that is due before wakeAt

	mu     sync.Mutex
	open   map[control.MessageID]guardedMessage
	wakeAt time.Time // when run looks for due messages
}

// A guardedMessage is what the guard needs to report a message.
type guardedMessage struct {
	id  string
	due time.Time // when it is reported
}

func newReportGuard() *reportGuard {
	return &reportGuard{earlier: make(chan struct{}, 1), open: map[control.MessageID]guardedMessage{}}
}

// add adds an accepted message. Redelivered dead letters are not reported to the platform.
func (g *reportGuard) add(e *entry) {
	if e.deadLetterSeq > 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := guardedMessage{e.ID, e.Deadline.Add(guardDelay)}
	g.open[e.num] = m
	if m.due.Before(g.wakeAt) {
		g.wakeAt = m.due
		select {
		case g.earlier <- struct{}{}:
		default:
		}
	}
}

// remove removes a message that has ended.
func (g *reportGuard) remove(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, e.num)
}

// clear removes all messages: another process is responsible for them.
func (g *reportGuard) clear() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.open)
}

// run reports due messages until the context ends.
func (g *reportGuard) run(ctx context.Context, reporter Reporter, log *slog.Logger) {
	timer := time.NewTimer(guardDelay) // the loop first looks through the messages that it has restored
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.earlier:
		case <-timer.C:
		}
		now := time.Now()
		for num, m := range g.takeDue(now) {
			log.Warn("message reported while the event loop hangs", "message", m.id)
			reporter.Report(DeliveryReport{Number: num, ID: m.id})
		}
		timer.Reset(time.Until(g.nextWake(now)))
	}
}

// takeDue removes the messages that are due and returns them.
func (g *reportGuard) takeDue(now time.Time) map[control.MessageID]guardedMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	due := map[control.MessageID]guardedMessage{}
	for num, m := range g.open {
		if !now.Before(m.due) {
			due[num] = m
			delete(g.open, num)
		}
	}
	return due
}

// nextWake returns when the first open message is due.
func (g *reportGuard) nextWake(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeAt = now.Add(maxGuardSleep)
	for _, m := range g.open {
		if m.due.Before(g.wakeAt) {
			g.wakeAt = m.due
		}
	}
	return g.wakeAt
}
