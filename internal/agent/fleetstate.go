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

const (
	endpointListWindow = 10 * time.Second // older endpoint lists are ignored
	maxAgents          = 64               // maximum number of agents whose endpoint lists are kept
)

// fleetState is this agent's knowledge of the fleet: the replicated state, and the latest observations and endpoint
// lists, which are not replicated. It implements quorum.Machine. It is safe for concurrent use.
type fleetState struct {
	mu            sync.Mutex
	state         *rollout.State
	observations  map[string]rollout.Observation // the latest one by sender
	proposals     map[string]chan applyResult    // this agent's pending proposals by command ID
	endpointLists map[string]endpointList        // by reporting agent
}

// endpointList is a list of endpoints that one agent has reported from its senders.
type endpointList struct {
	receivedAt time.Time
	endpoints  []rollout.Endpoint
}

// applyResult is the result of applying a proposed command: the index of its entry, and the error if it was rejected.
type applyResult struct {
	index uint64
	err   error
}

func newFleetState() *fleetState {
	return &fleetState{
		state: rollout.New(), observations: map[string]rollout.Observation{},
		proposals: map[string]chan applyResult{}, endpointLists: map[string]endpointList{},
	}
}

// Apply applies an entry of the log and sends the result to the proposer if it waits here. An entry that can't be
// decoded was written by a newer agent: it only advances the index.
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

// Snapshot returns the replicated state as JSON.
func (f *fleetState) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f.state)
}

// Restore replaces the replicated state with a snapshot of the entries up to index.
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

// addProposal registers the ID of a command before the command is proposed. The result is sent to the returned channel,
// which is buffered so that Apply never blocks.
func (f *fleetState) addProposal(id string) <-chan applyResult {
	done := make(chan applyResult, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals[id] = done
	return done
}

// dropProposal removes a proposal whose result is no longer awaited.
func (f *fleetState) dropProposal(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.proposals, id)
}

// withLock calls do with the state and the observations while it holds the mutex. do must neither block nor retain
// them.
func (f *fleetState) withLock(do func(state *rollout.State, observations map[string]rollout.Observation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.state, f.observations)
}

// observe stores observations. An observation that is not later than the stored one of the same sender is dropped.
func (f *fleetState) observe(observations ...rollout.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, observed := range observations {
		last, known := f.observations[observed.Sender]
		switch {
		case known && !observed.At.After(last.At):
		case !known && len(f.observations) >= 2*rollout.MaxSenders:
		default:
			f.observations[observed.Sender] = observed
		}
	}
}

// setEndpoints stores the endpoint list of an agent.
func (f *fleetState) setEndpoints(agent string, endpoints []rollout.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.endpointLists) < maxAgents || f.endpointLists[agent].endpoints != nil {
		f.endpointLists[agent] = endpointList{time.Now(), endpoints}
	}
}

// endpoints returns the endpoints of all recent lists, ordered by ID. An endpoint is up if it is up in every list that
// contains it.
func (f *fleetState) endpoints() []rollout.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]rollout.Endpoint{}
	for _, list := range f.endpointLists {
		if time.Since(list.receivedAt) > endpointListWindow {
			continue
		}
		for _, e := range list.endpoints {
			if other, known := all[e.ID]; known {
				e.Up = e.Up && other.Up
			}
			all[e.ID] = e
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b rollout.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// assignment is the part of the replicated state that concerns one sender.
type assignment struct {
	grant          *rollout.Grant // the sender's open grant; nil: none
	duty           rollout.Duty   // action that its supervisor must take on the grant
	exclusionEpoch uint64         // index of the entry that last changed the excluded endpoints
	excluded       []string       // IDs of the excluded endpoints
	timing         rollout.Timing
}

// assignment returns the assignment of a sender, given its latest observation and the epoch of the latest grant that it
// was asked to take.
func (f *fleetState) assignment(observed rollout.Observation, lastTakenEpoch uint64) assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	assigned := assignment{
		timing: f.state.Terms.Timing, exclusionEpoch: f.state.ExclusionEpoch, excluded: f.state.ExcludedEndpoints(),
	}
	if grant := f.state.Grants[observed.Sender]; grant != nil {
		copied := *grant
		assigned.grant, assigned.duty = &copied, f.state.Duty(grant, observed, lastTakenEpoch, time.Now())
	}
	return assigned
}

// deepCopy copies a value by encoding it as JSON, so that the copy can be read without the mutex.
func deepCopy[T any](v *T) *T {
	c := new(T)
	if text, err := json.Marshal(v); err == nil {
		json.Unmarshal(text, c)
	}
	return c
}
