package main

// fleetCmd groups the commands that are sent to the agents of a fleet.
type fleetCmd struct {
	Agents []string `help:"${help_fleet_agent}" env:"CLEATHOLD_AGENTS" name:"agent" placeholder:"ADDRESS" required:""`

	List     fleetListCmd     `cmd:"" help:"All senders: what they run, who is out, who is not seen."`
	Show     fleetShowCmd     `cmd:"" help:"One plan, sender by sender."`
	Plans    fleetPlansCmd    `cmd:"" help:"The plans, the latest last."`
	Drain    fleetDrainCmd    `cmd:"" help:"Have senders go out, as many at once as the budget allows."`
	Activate fleetActivateCmd `cmd:"" help:"Have the senders of a drain come back to work."`
	Release  fleetReleaseCmd  `cmd:"" help:"Put another program or configuration in place, in stages."`
	Halt     fleetHaltCmd     `cmd:"" help:"Have nothing new go out by a plan."`
	Resume   fleetResumeCmd   `cmd:"" help:"Have a halted plan go on."`
	Back     fleetBackCmd     `cmd:"" help:"Have a plan go back: everything as before it, within the same budget."`
	Endpoint fleetEndpointCmd `cmd:"" help:"See endpoints, take one out for all senders, put it back."`
	Events   fleetEventsCmd   `cmd:"" help:"Who did what, and what came of it."`
	Terms    fleetTermsCmd    `cmd:"" help:"Show the budget and the times, or set those of a settings script."`
}
