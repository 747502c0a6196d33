// Package rollout decides which sender may go out now, which is next, and whether to go on: the roster of a fleet,
// its budgets, plans and their gates. A State is what all agents agree on; it changes by commands alone, in the
// order of a log, and all that apply the same log come to the same state. Next says what the leading agent
// should propose from what it sees. The package does no I/O, takes the time as a parameter and draws nothing.
// Its design is docs/design/agreed-drains.md.
package rollout
