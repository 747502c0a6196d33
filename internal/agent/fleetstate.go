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
	endpointListWindow = 10 * time.Second // an agent's endpoint list that is older is left out
	maxAgents          = 64               // agents whose endpoint lists are kept
)

// fleetState is what this agent knows of the fleet: the replicated state, and the latest observations and endpoint
// lists, which are not replicated. It is the quorum's state machine. It is safe for concurrent use.
type fleetState struct {
	mu            sync.Mutex
	state         *rollout.State
	observations  map[string]rollout.Observation // the latest by sender
	proposals     map[string]chan applyResult    // commands that this agent has proposed, by ID
	endpointLists map[string]endpointList        // by the agent that reported it
}

// endpointList is what the senders of one agent know of discovery.
type endpointList struct {
	receivedAt time.Time
	endpoints  []rollout.Endpoint
}

// applyResult is what came of a proposal: the index of its entry, and the state's error if it was rejected.
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

// Apply applies an entry of the log and tells a waiting proposer. An entry that can't be decoded comes from a newer
// agent: only the index advances.
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

// Restore replaces the replicated state by a snapshot of the entries up to index.
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

// addProposal registers a command's ID before it is proposed. The channel, which has room for it, gets the result.
func (f *fleetState) addProposal(id string) <-chan applyResult {
	done := make(chan applyResult, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals[id] = done
	return done
}

// dropProposal forgets a command that nobody waits for any more.
func (f *fleetState) dropProposal(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.proposals, id)
}

// withLock calls do with the state and the observations, under the mutex. do must neither block nor retain them.
func (f *fleetState) withLock(do func(state *rollout.State, observations map[string]rollout.Observation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.state, f.observations)
}

// observe enters observations. One that is no later than the known one of the same sender is dropped.
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

// setEndpoints enters the endpoint list of an agent.
func (f *fleetState) setEndpoints(agent string, endpoints []rollout.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.endpointLists) < maxAgents || f.endpointLists[agent].endpoints != nil {
		f.endpointLists[agent] = endpointList{time.Now(), endpoints}
	}
}

// endpoints returns the endpoints of all recent lists, ordered by ID. One is up if every list that has it says so.
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

// assignment is what the fleet has agreed on for one sender.
type assignment struct {
	grant          *rollout.Grant // nil if it has none
	duty           rollout.Duty   // what its supervisor is to do about the grant
	exclusionEpoch uint64         // the entry that changed the excluded endpoints last
	excluded       []string       // ids of excluded endpoints
	timing         rollout.Timing
}

// assignment returns what is to be done for a sender, given the latest observation of it and the epoch of the grant
// that it was asked to take last.
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

// deepCopy copies a value through JSON, so that it can be read without the mutex.
func deepCopy[T any](v *T) *T {
	c := new(T)
	if text, err := json.Marshal(v); err == nil {
		json.Unmarshal(text, c)
	}
	return c
}
