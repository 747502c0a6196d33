// Package rollout decides which sender of a fleet may go out of service, which sender is next, and whether a plan
// proceeds. It holds the fleet's roster and budgets, and the plans with their gates. State is the replicated state:
// only commands change it, in log order, so that all agents that have applied the same log have the same state.
// State.Next returns the commands that the leading agent should propose, given its observations. The package does no
// I/O, takes the time as a parameter and uses no random numbers. docs/design/agreed-drains.md describes the design.
package rollout
