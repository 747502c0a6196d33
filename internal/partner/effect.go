package partner

import (
	"time"
)

// Effect is a message that took effect, or was dropped as a repeat.
type Effect struct {
	At       time.Duration
	Call     uint64
	Message  Message
	Endpoint string
	Sender   int
	Dropped  bool // a key that was remembered
	Late     bool // after the call was cancelled
}

// keyUse is where and when a key was seen first.
type keyUse struct {
	at       time.Duration
	zone     int
	endpoint string
}

// applyEffects lets the messages of a call take effect, but for those whose keys are
// remembered.
func (m *Model) applyEffects(j *job) {
	e, d := j.endpoint, j.endpoint.dest
	for _, msg := range j.Messages {
		dropped := false
		if msg.Key != "" && d.KeyRetention > 0 {
			k, known := d.seenKeys[msg.Key]
			known = known && m.now-k.at < d.KeyRetention
			switch d.KeyScope {
			case SameZone:
				known = known && k.zone == e.Zone
			case SameEndpoint:
				known = known && k.endpoint == e.ID
			}
			if dropped = known; !known {
				d.seenKeys[msg.Key] = keyUse{m.now, e.Zone, e.ID}
			}
		}
		m.effects = append(m.effects, Effect{m.now, j.ID, msg, e.ID, j.Sender, dropped, j.canceled})
	}
	if m.now >= d.sweepAt {
		for key, k := range d.seenKeys {
			if m.now-k.at >= d.KeyRetention {
				delete(d.seenKeys, key)
			}
		}
		d.sweepAt = m.now + d.KeyRetention
	}
}
