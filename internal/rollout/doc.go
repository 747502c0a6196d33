// Package rollout decides which sender of a fleet may go out, which is next, and whether a plan goes on: the roster
// of the fleet, its budgets, plans and their gates. State is the replicated state: it changes by commands alone, in
// the order of the log, and all agents that apply the same log have the same state. State.Next returns what the
// leading agent should propose from its observations. The package does no I/O, takes the time as a parameter and
// draws nothing at random. docs/design/agreed-drains.md has the design.
package rollout
