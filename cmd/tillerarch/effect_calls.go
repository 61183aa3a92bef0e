package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// Timeouts of calls.
const (
	storeTimeout = 1500 * time.Millisecond

	// watchTimeout is less than hold.ttl, because the age of the replica decides whether the
	// controller may act on it.
	watchTimeout = 3 * time.Second

	cloudTimeout = 10 * time.Second
	agentTimeout = 2 * time.Second
)

// executeCall makes the call that an effect requests, waits for the response and queues the result
// as an input.
func (d *daemon) executeCall(ctx context.Context, effect step.Effect) {
	if result := d.callStore(effect); result != nil {
		d.enqueue(ctx, result)
	} else if result := d.callCloudOrAgent(effect); result != nil {
		d.enqueue(ctx, result)
	} else {
		slog.Error("unhandled effect", "type", fmt.Sprintf("%T", effect))
	}
}

// callStore makes a call to the key-value store and returns its result. It returns nil if the
// effect is not a call to the store.
func (d *daemon) callStore(effect step.Effect) step.Input {
	switch effect := effect.(type) {
	case step.Commit:
		outcome, result, err := d.store.Commit(effect.Transaction)
		return step.CommitResult{ID: effect.ID, Outcome: outcome, Result: result, Err: err}
	case step.LoadRecords:
		entries, startRevision, endRevision, err := d.store.LoadRecords()
		return step.LoadRecordsResult{Entries: entries, StartRevision: startRevision, EndRevision: endRevision, Err: err}
	case step.Watch:
		response, err := d.store.Watch(effect.AfterRevision, watchTimeout)
		return step.WatchResult{AfterRevision: effect.AfterRevision, Response: response, Err: err}
	case step.ReadRevision:
		revision, err := d.store.Revision()
		return step.ReadRevisionResult{Revision: revision, Err: err}
	case step.GrantLease:
		leaseID, err := d.store.GrantLease(effect.TTL)
		return step.GrantLeaseResult{LeaseID: leaseID, Err: err}
	case step.RenewLease:
		return step.RenewLeaseResult{LeaseID: effect.LeaseID, Err: d.store.RenewLease(effect.LeaseID)}
	}
	return nil
}

// callCloudOrAgent makes a call to the cloud or to an agent and returns its result. It returns nil
// if the effect is not such a call.
func (d *daemon) callCloudOrAgent(effect step.Effect) step.Input {
	switch effect := effect.(type) {
	case step.ListMachineTypes:
		machineTypes, err := d.listMachineTypes()
		return step.ListMachineTypesResult{MachineTypes: machineTypes, Err: err}
	case step.ProvisionMachines:
		return d.provisionMachines(effect.Request)
	case step.TerminateMachines:
		return step.TerminateMachinesResult{Machines: effect.Machines, Err: d.terminateMachines(effect.Machines)}
	case step.ListInstances:
		requestedAt := d.now().Monotonic
		instances, err := d.listInstances()
		return step.ListInstancesResult{RequestedAt: requestedAt, Instances: instances, Err: err}
	case step.ProbeAgent:
		heartbeat, err := d.agents.sendRequest(http.MethodGet, effect.Addr, protocol.PathAgentStatus, nil)
		return step.AgentResult{Machine: effect.Machine, Heartbeat: heartbeat, Err: err}
	case step.SendCommands:
		heartbeat, err := d.agents.sendRequest(http.MethodPost, effect.Addr, protocol.PathAgentCommands, effect.Commands.Encode())
		return step.AgentResult{Machine: effect.Machine, Heartbeat: heartbeat, Err: err}
	}
	return nil
}
