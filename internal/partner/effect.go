package partner

import "time"

// Effect records that a message took effect, or that it was dropped because its key was seen before.
type Effect struct {
	At       time.Duration
	Call     uint64
	Message  Message
	Endpoint string
	Sender   int
	Dropped  bool // its key was seen before
	Late     bool // after the call was canceled
}

// firstUse records where and when a key was seen first.
type firstUse struct {
	at       time.Duration
	zone     int
	endpoint string
}

// applyEffects records the effects of a call's messages, and drops the messages whose keys were seen before.
func (m *Model) applyEffects(j *job) {
	e, d := j.endpoint, j.endpoint.dest
	for _, msg := range j.Messages {
		dropped := msg.Key != "" && d.KeyRetention > 0 && d.registerKey(msg.Key, firstUse{m.now, e.Zone, e.ID})
		m.effects = append(m.effects, Effect{m.now, j.ID, msg, e.ID, j.Sender, dropped, j.canceled})
	}
	d.expireKeys(m.now)
}

// registerKey reports whether a key was seen before, within the retention and the scope. If not, it records the use.
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

// expireKeys deletes the keys that are older than the retention. It scans them only once per retention.
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
