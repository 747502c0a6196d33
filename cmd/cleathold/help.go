package main

import "github.com/alecthomas/kong"

// longHelp holds the help texts that are too long for a struct tag on one line. Struct tags refer to them as ${NAME}.
var longHelp = kong.Vars{
	"help_agent": "Run beside the senders of a machine: start, watch, drain and change them as the agents agree.",
	"help_agent_run": "Run the agent. One whose folder is empty is taken in by the others, in its old one's " +
		"place.",
	"help_agent_settings": "Starlark script with agent(...), sender(...), budget(...) and timing(...).",

	"help_fleet_agent":    "Addresses of agents; the first that answers is asked.",
	"help_fleet_config":   "Folder with a configuration NAME.json for each sender, the same path on each machine.",
	"help_fleet_revision": "The revision that 'fleet show' told; if the plan has changed since, nothing is done.",
	"help_fleet_least": "Messages that the changed senders must have ended before a stage is judged, and others " +
		"beside them.",
	"help_fleet_terms": "An agent's settings script, whose budget and timing are to hold from now on.",

	"help_held_reason": "Only those that ended for this reason: expired, may-have-run, memory-passed, " +
		"attempts-spent, rejected.",
	"help_held_settings": "Settings script that names both: the socket is asked if a sender answers there, else " +
		"the folder.",

	"help_lab_fleet": "Play drains and releases of a fleet of processes under drawn faults, or measure a release.",
	"help_lab_fleet_measure": "A release over a whole fleet and back, and drains that are halted: how long they " +
		"take.",
	"help_lab_limits": "Set what all senders of a run did together against the limits of destinations, by second.",
	"help_lab_outages": "Follow a run's outages of endpoints: what was served meanwhile, and how often senders ran " +
		"into them.",
	"help_lab_set":         "A figure for what the script names by param(NAME, usual).",
	"help_lab_compare_set": "A figure for what the scripts name by param(NAME, usual).",

	"help_serve_settings": "Starlark script with settings of our own: held messages, the admin plane. Without it " +
		"both are off.",
}
