package control

import "time"

// A keySequence keeps the order of the messages with one key.
type keySequence struct {
	key              uint64
	queue            []*message
	pausedUntil      time.Duration // later messages wait until this
	pausedBy         *message      // whose attempt may still run
	attemptsInFlight int           // attempts without an outcome
}

// unused tells that no message holds the turn.
func (t *keySequence) unused() bool { return len(t.queue) == 0 && t.attemptsInFlight == 0 }

// sequenceOf returns the turn of a key.
func (c *Controller) sequenceOf(key uint64) *keySequence {
	t := c.sequences[key]
	if t == nil {
		t = &keySequence{key: key}
		c.sequences[key] = t
	}
	return t
}

// firstOfKey: messages of one key go one at a time, in the order taken.
func (c *Controller) firstOfKey(m *message) bool {
	t := m.sequence
	return t == nil || t.queue[0] == m && t.attemptsInFlight == 0 && (t.pausedBy == m || c.now >= t.pausedUntil)
}
