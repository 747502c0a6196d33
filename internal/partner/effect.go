package partner

import "time"

// Effect is a message that took effect, or was dropped because its key was seen before.
type Effect struct {
	At       time.Duration
	Call     uint64
	Message  Message
	Endpoint string
	Sender   int
	Dropped  bool // its key was seen before
	Late     bool // after the call was canceled
}

// firstUse is where and when a key was seen first.
type firstUse struct {
	at       time.Duration
	zone     int
	endpoint string
}

// applyEffects has the messages of a call take effect, and drops those whose keys were seen before.
func (m *Model) applyEffects(j *job) {
	e, d := j.endpoint, j.endpoint.dest
	for _, msg := range j.Messages {
		dropped := msg.Key != "" && d.KeyRetention > 0 && d.registerKey(msg.Key, firstUse{m.now, e.Zone, e.ID})
		m.effects = append(m.effects, Effect{m.now, j.ID, msg, e.ID, j.Sender, dropped, j.canceled})
	}
	d.expireKeys(m.now)
}

// registerKey reports whether a key was seen before, within the retention and the scope. If not, it is from now on.
func (d *destination) registerKey(key string, use firstUse) (seen bool) {
	first, seen := d.seenKeys[key]
	seen = seen && use.at-first.at < d.KeyRetention
	switch d.KeyScope {
	case SameZone:
		seen = seen && first.zone == use.zone
	case SameEndpoint:
		seen = seen && first.endpoint == use.endpoint
	}
	if !seen {
		d.seenKeys[key] = use
	}
	return seen
}

// expireKeys drops, once in a retention, the keys that are older than it.
func (d *destination) expireKeys(now time.Duration) {
	if now < d.nextKeyExpiry {
		return
	}
	for key, use := range d.seenKeys {
		if now-use.at >= d.KeyRetention {
			delete(d.seenKeys, key)
		}
	}
	d.nextKeyExpiry = now + d.KeyRetention
}
