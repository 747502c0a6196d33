package main

import (
	"cleathold/control"
	"cleathold/internal/wire"
)

// listUpdateKinds maps the form of a Discovery event to the kind of list update.
var listUpdateKinds = map[uint8]control.ListUpdateKind{
	wire.FormDelta: control.ListDelta, wire.FormFull: control.ListFull, wire.FormCached: control.ListCached,
}

// listUpdateKind converts the form of a Discovery event. An unknown form counts as a failed poll.
func listUpdateKind(form uint8) control.ListUpdateKind {
	if kind, known := listUpdateKinds[form]; known {
		return kind
	}
	return control.ListFailed
}

// results maps the code of a ReportBack or Pong event to the result of a call. Codes are HTTP status codes, or are
// defined by the simulator's protocol (WIRE).
var results = map[uint16]control.Result{
	200: control.Served, 410: control.NotSent, 499: control.Canceled, 500: control.Failed, 502: control.ConnectFailed,
	503: control.Rejected, 504: control.TimedOut, 598: control.ConnectionLost,
}

// resultOf converts the code of a ReportBack or Pong event. An unknown code means that the attempt may have run.
func resultOf(code uint16) control.Result {
	if result, known := results[code]; known {
		return result
	}
	return control.Unknown
}

// endpointStates maps the lifecycle of a Census entry to the state of an endpoint.
var endpointStates = map[uint8]control.EndpointState{1: control.Ready, 2: control.Draining}

// endpointState converts the lifecycle of a Census entry. An endpoint with an unknown lifecycle counts as removed.
func endpointState(lifecycle uint8) control.EndpointState {
	if state, known := endpointStates[lifecycle]; known {
		return state
	}
	return control.Removed
}

// endpoints converts the entries of a Census event to an endpoint list.
func endpoints(entries []wire.Entry) []control.Endpoint {
	list := make([]control.Endpoint, len(entries))
	for i, e := range entries {
		list[i] = control.Endpoint{
			ID: control.EndpointID(e.Endpoint), Destination: int(e.Cell), Kind: int(e.Type), Zone: int(e.Zone),
			State: endpointState(e.Lifecycle), Weight: float64(e.Units),
		}
	}
	return list
}

// message converts a JobIn event. The message's class is its index in the latest settings.
func message(e wire.JobIn) control.Message {
	m := control.Message{
		ID: control.MessageID(e.Txn), Class: int(e.Class), Destination: int(e.FarEnd),
		TimeLeft: wire.Duration(e.RemainingMs), Key: e.PathKey, Tenant: int(e.UserGroup),
		Resubmitted: e.Marks&wire.MarkAgain != 0, Inherited: e.Marks&wire.MarkInherited != 0,
	}
	if e.Marks&wire.MarkHint != 0 {
		m.ExpectedWork = wire.Duration(e.ExpectedMs)
	}
	return m
}

// outcome converts a ReportBack event. The meaning of the event's remark depends on its code.
func outcome(e wire.ReportBack) control.Outcome {
	o := control.Outcome{
		ID: control.MessageID(e.Txn), Attempt: int(e.SendNo), Endpoint: control.EndpointID(e.Endpoint),
		Result: resultOf(e.Code), Elapsed: wire.Duration(e.TookMs), Final: e.Finished, LoadReport: e.Feedback,
	}
	switch o.Result {
	case control.Rejected:
		o.RetryAfter = wire.Duration(float64(e.RemarkMs))
	case control.NotSent:
		o.NoSlot = e.RemarkMs == 1
	}
	return o
}
