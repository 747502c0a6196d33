package control

import "time"

// A keySequence keeps the order of the messages with one key: they go one at a time, in the order of their submission.
type keySequence struct {
	key              uint64
	queue            []*message
	pausedUntil      time.Duration // later messages wait until this
	pausedBy         *message      // whose attempt may still run; it does not wait for itself
	attemptsInFlight int
}

// add puts a message at the end of the sequence.
func (s *keySequence) add(msg *message) {
	msg.sequence = s
	s.queue = append(s.queue, msg)
}

// remove takes out a message that is finished.
func (s *keySequence) remove(msg *message) { s.queue = without(s.queue, msg) }

// isNext reports whether it is the message's turn.
func (s *keySequence) isNext(msg *message, now time.Duration) bool {
	return s.queue[0] == msg && s.attemptsInFlight == 0 && (s.pausedBy == msg || now >= s.pausedUntil)
}

// attemptDone takes the result of an attempt. After one that may still run the key pauses until then.
func (s *keySequence) attemptDone(msg *message, result Result, pauseUntil time.Duration) {
	s.attemptsInFlight--
	if result == TimedOut || result == ConnectionLost || result == Canceled || result == Unknown {
		s.pausedUntil, s.pausedBy = pauseUntil, msg
	}
}

// empty reports whether no message is in the sequence.
func (s *keySequence) empty() bool { return len(s.queue) == 0 && s.attemptsInFlight == 0 }

// keySequences holds the sequences of all keys, each until no message is in it and its pause is over.
type keySequences struct {
	byKey map[uint64]*keySequence
	idle  []*keySequence // those that a message has left, in that order
}

// forKey returns the sequence forKey a key.
func (s *keySequences) forKey(key uint64) *keySequence {
	sequence := s.byKey[key]
	if sequence == nil {
		sequence = &keySequence{key: key}
		s.byKey[key] = sequence
	}
	return sequence
}

// release takes that a message has left its sequence, which may be nil, and drops sequences that nobody needs.
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

// isNextOfKey reports whether the order of its key lets the message go.
func (c *Controller) isNextOfKey(msg *message) bool {
	return msg.sequence == nil || msg.sequence.isNext(msg, c.now)
}
