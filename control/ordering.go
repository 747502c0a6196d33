package control

import "time"

// A keySequence holds the messages with the same key, which are sent one at a time, in order of submission.
type keySequence struct {
	key              uint64
	queue            []*message
	pausedUntil      time.Duration // the next message waits until this
	pausedBy         *message      // message whose attempt may still be running; the pause does not apply to it
	attemptsInFlight int
}

// add appends a message to the sequence.
func (s *keySequence) add(msg *message) {
	msg.sequence = s
	s.queue = append(s.queue, msg)
}

// remove removes a finished message.
func (s *keySequence) remove(msg *message) { s.queue = without(s.queue, msg) }

// isNext reports whether the message is the next one to be sent and may be sent now.
func (s *keySequence) isNext(msg *message, now time.Duration) bool {
	return s.queue[0] == msg && s.attemptsInFlight == 0 && (s.pausedBy == msg || now >= s.pausedUntil)
}

// attemptDone records the result of an attempt. If the attempt may still be running, the sequence pauses until
// pauseUntil.
func (s *keySequence) attemptDone(msg *message, result Result, pauseUntil time.Duration) {
	s.attemptsInFlight--
	if result == TimedOut || result == ConnectionLost || result == Canceled || result == Unknown {
		s.pausedUntil, s.pausedBy = pauseUntil, msg
	}
}

// empty reports whether the sequence has neither a message nor an attempt in flight.
func (s *keySequence) empty() bool { return len(s.queue) == 0 && s.attemptsInFlight == 0 }

// keySequences holds the sequences of all keys. It keeps each one until it is empty and its pause is over.
type keySequences struct {
	byKey map[uint64]*keySequence
	idle  []*keySequence // sequences that a message has left, in that order
}

// forKey returns the sequence of a key, which it creates if necessary.
func (s *keySequences) forKey(key uint64) *keySequence {
	sequence := s.byKey[key]
	if sequence == nil {
		sequence = &keySequence{key: key}
		s.byKey[key] = sequence
	}
	return sequence
}

// release records that a message has left its sequence, which may be nil, and deletes sequences that are no longer
// needed.
func (s *keySequences) release(sequence *keySequence, now time.Duration) {
	if sequence != nil {
		s.idle = append(s.idle, sequence)
	}
	for len(s.idle) > 0 && (now >= s.idle[0].pausedUntil || !s.idle[0].empty()) {
		if first := s.idle[0]; first.empty() && s.byKey[first.key] == first {
			delete(s.byKey, first.key)
		}
		s.idle = s.idle[1:]
	}
}

// isNextOfKey reports whether the order of the message's key allows it to be sent.
func (c *Controller) isNextOfKey(msg *message) bool {
	return msg.sequence == nil || msg.sequence.isNext(msg, c.now)
}
