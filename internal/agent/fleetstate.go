package agent

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"cleathold/internal/rollout"
)

// fleetState is what is agreed on and what was seen, and the machine of the log. It has one mutex.
type fleetState struct {
	name string

	mu            sync.Mutex
	state         *rollout.State
	observations  map[string]rollout.Observation // the latest of each sender, from whoever is beside it
	proposals     map[string]chan applyResult    // commands of this agent's, by ID
	endpointLists map[string]endpointList        // what discovery lists, as each agent's senders have it
}

// endpointList is what one agent tells of endpoints.
type endpointList struct {
	receivedAt time.Time
	endpoints  []rollout.Endpoint
}

type applyResult struct {
	index uint64
	err   error
}

func newFleetState(name string) *fleetState {
	return &fleetState{name: name, state: rollout.New(), observations: map[string]rollout.Observation{}, proposals: map[string]chan applyResult{}, endpointLists: map[string]endpointList{}}
}

// setEndpoints enters what an agent tells of endpoints.
func (f *fleetState) setEndpoints(agent string, endpoints []rollout.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.endpointLists) < maxAgents || f.endpointLists[agent].endpoints != nil {
		f.endpointLists[agent] = endpointList{time.Now(), endpoints}
	}
}

// endpoints are those that any agent has told of lately. One is up if all that know it say so.
func (f *fleetState) endpoints() []rollout.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]rollout.Endpoint{}
	for _, list := range f.endpointLists {
		if time.Since(list.receivedAt) > endpointListWindow {
			continue
		}
		for _, e := range list.endpoints {
			if old, some := all[e.ID]; some {
				e.Up = e.Up && old.Up
			}
			all[e.ID] = e
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b rollout.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Apply applies an entry of the log. One that can't be read is of a newer agent, and changes nothing here.
func (f *fleetState) Apply(index uint64, data []byte) {
	var command rollout.Command
	err := json.Unmarshal(data, &command)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		err = f.state.Apply(index, command)
	} else {
		f.state.Index = index
	}
	if done := f.proposals[command.ID]; done != nil && command.ID != "" {
		delete(f.proposals, command.ID)
		done <- applyResult{index, err}
	}
}

// Snapshot is all that was applied.
func (f *fleetState) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f.state)
}

// Restore takes another agent's image over, or one from the folder.
func (f *fleetState) Restore(index uint64, data []byte) error {
	state := rollout.New()
	if err := json.Unmarshal(data, state); err != nil {
		return err
	}
	state.Index = index
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = state
	return nil
}

// withLock does something under the mutex. It must neither wait nor keep what it is given.
func (f *fleetState) withLock(do func(s *rollout.State, observations map[string]rollout.Observation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.state, f.observations)
}

// observe enters a sight unless a later one is there.
func (f *fleetState) observe(observations ...rollout.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, observed := range observations {
		if old, some := f.observations[observed.Sender]; !some || observed.At.After(old.At) {
			if !some && len(f.observations) >= 2*rollout.MaxSenders {
				continue
			}
			f.observations[observed.Sender] = observed
		}
	}
}

func (f *fleetState) assignment(observed rollout.Observation, lastTakenEpoch uint64) assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := assignment{timing: f.state.Terms.Timing, exclusionEpoch: f.state.ExclusionEpoch, excluded: f.state.ExcludedEndpoints()}
	if grant := f.state.Grants[observed.Sender]; grant != nil {
		copied := *grant
		d.grant, d.duty = &copied, f.state.Duty(grant, observed, lastTakenEpoch, time.Now())
	}
	if m := f.state.Members[observed.Sender]; m != nil {
		d.version = m.Version
	}
	return d
}

// assignment is what a sender's minder must know of what is agreed on.
type assignment struct {
	grant          *rollout.Grant
	duty           rollout.Duty
	version        rollout.Version
	exclusionEpoch uint64 // the entry that changed the endpoints that are out
	excluded       []string
	timing         rollout.Timing
}

// deepCopy copies by way of the text: what is handed out is read outside the fleet's mutex.
func deepCopy[T any](v *T) *T {
	c := new(T)
	if text, err := json.Marshal(v); err == nil {
		json.Unmarshal(text, c)
	}
	return c
}
