package simulation

import (
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
)

const (
	// maxListDelay is the maximum delay with which discovery notifies a sender of a change.
	maxListDelay = 3 * time.Second
	// maxPollInterval is the maximum time between two polls of a sender. After it, the sender counts as notified of all
	// changes made before that interval (WIRE, guarantees.must-ask-in-ms).
	maxPollInterval = 10 * time.Second
	// maxPollIntervalAfterFailure is the maximum time if discovery did not answer the last poll.
	maxPollIntervalAfterFailure = 4 * maxPollInterval
)

// ListedEndpoint is an endpoint as discovery lists it.
type ListedEndpoint struct {
	ID      string
	Address string // the id of the endpoint that had this address first
	Dest    int
	Kind    int
	Zone    int
	State   control.EndpointState
	Weight  float64
}

// A scheduledUpdate is a list change that discovery returns to one sender from time due on.
type scheduledUpdate struct {
	due       time.Duration
	version   int64
	endpoint  ListedEndpoint
	previous  ListedEndpoint // the endpoint before the change; only valid if wasListed
	wasListed bool
}

// NotifiedCheckInterval is the interval at which MarkNotified is to be called.
const NotifiedCheckInterval = 250 * time.Millisecond

// A pollState is the state of a sender's polls.
type pollState struct {
	lastAt   time.Duration // time of the last poll, or of the end of the watch
	watching bool
	failed   bool // discovery did not answer the last poll
	counted  int  // departures of which the sender counts as notified although discovery did not notify it
}

// A departure is an endpoint that began to drain or was removed.
type departure struct {
	at   time.Duration
	id   string
	dest int
}

// scheduleNotifications draws when each sender is notified of a change, and returns these times by sender. No sender is
// notified of the newer of two changes first.
func (env *Environment) scheduleNotifications(
	now time.Duration, previous ListedEndpoint, wasListed bool, id string,
) []time.Duration {
	env.version++
	due := make([]time.Duration, len(env.updates))
	for i := range env.updates {
		due[i] = now + time.Duration(env.rng.Float64()*float64(maxListDelay))
		if n := len(env.updates[i]); n > 0 {
			due[i] = max(due[i], env.updates[i][n-1].due)
		}
		env.updates[i] = append(env.updates[i], scheduledUpdate{due[i], env.version, env.listed[id], previous, wasListed})
	}
	return due
}

// Polled records that a sender polled discovery or that its watch ended. Watching is whether it watches now, failed
// whether discovery did not answer.
func (env *Environment) Polled(now time.Duration, sender int, watching, failed bool) {
	env.polls[sender].lastAt, env.polls[sender].watching, env.polls[sender].failed = now, watching, failed
}

// Watching reports whether a sender has an open poll at discovery that waits for changes.
func (env *Environment) Watching(sender int) bool { return env.polls[sender].watching }

// MarkNotified records the senders that have neither watched nor polled for longer than the allowed interval as
// notified of the departures before that interval.
func (env *Environment) MarkNotified(now time.Duration) {
	for i := range env.polls {
		p := &env.polls[i]
		interval := maxPollInterval
		if p.failed {
			interval = maxPollIntervalAfterFailure
		}
		if p.watching || now-p.lastAt < interval {
			continue
		}
		for ; p.counted < len(env.departures) && env.departures[p.counted].at <= now-interval; p.counted++ {
			d := env.departures[p.counted]
			env.record(audit.Event{Kind: audit.Notified, Sender: i, Endpoint: d.id, Dest: d.dest, Leaves: true})
		}
	}
}

// DiscoveryOutage reports whether discovery is down, and returns the end of the outage.
func (env *Environment) DiscoveryOutage(now time.Duration) (until time.Duration, down bool) {
	for _, outage := range env.Plan.DiscoveryOutages {
		if now >= outage.From && now < outage.To {
			return outage.To, true
		}
	}
	return 0, false
}

// ListChanges returns the endpoints that changed after version since and of which the sender is notified by now, and
// the version of the list with these changes. If changes after since were already deleted, endpoints is the full list
// and full is true. ListChanges deletes the sender's changes up to since.
func (env *Environment) ListChanges(
	now time.Duration, sender int, since int64,
) (endpoints []ListedEndpoint, version int64, full bool) {

	if since < env.baseVersions[sender] {
		endpoints, version = env.FullList(now, sender)
		return endpoints, version, true
	}
	version = since
	knownUpdates := 0
	for _, u := range env.updates[sender] {
		if u.due > now {
			break
		}
		if u.version <= since {
			knownUpdates++
			continue
		}
		endpoints, version = append(endpoints, u.endpoint), u.version
	}
	if knownUpdates > 0 {
		env.baseVersions[sender] = env.updates[sender][knownUpdates-1].version
		env.updates[sender] = slices.Delete(env.updates[sender], 0, knownUpdates)
	}
	return endpoints, version, false
}

// AgentChanges returns the endpoints that changed after version since and that the agent of a sender has by now, with
// the version of the list that it has. Unlike ListChanges it deletes nothing.
func (env *Environment) AgentChanges(now time.Duration, sender int, since int64) ([]ListedEndpoint, int64) {
	var changes []ListedEndpoint
	for _, u := range env.updates[sender] {
		if u.due > now {
			break
		}
		if u.version > since {
			changes, since = append(changes, u.endpoint), u.version
		}
	}
	return changes, since
}

// NextListUpdate returns the time at which a sender is notified of the first change after version since; false if there
// is none.
func (env *Environment) NextListUpdate(sender int, since int64) (time.Duration, bool) {
	for _, u := range env.updates[sender] {
		if u.version > since {
			return u.due, true
		}
	}
	return 0, false
}

// FullList returns the endpoint list as discovery currently returns it to a sender, and its version.
func (env *Environment) FullList(now time.Duration, sender int) ([]ListedEndpoint, int64) {
	version := env.baseVersions[sender]
	pending := map[string]scheduledUpdate{}
	for _, u := range slices.Backward(env.updates[sender]) {
		if u.due > now {
			pending[u.endpoint.ID] = u // the last assignment is the earliest update
			continue
		}
		version = max(version, u.version)
	}
	var endpoints []ListedEndpoint
	for _, id := range env.listOrder {
		l, listed := env.listed[id], true
		if u, ok := pending[id]; ok {
			l, listed = u.previous, u.wasListed
		}
		if listed && l.State != control.Removed {
			endpoints = append(endpoints, l)
		}
	}
	return endpoints, version
}
