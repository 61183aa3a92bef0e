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

const (
	storeTimeout = 1500 * time.Millisecond
	watchTimeout = 3 * time.Second // below hold.ttl: the replica's age tells whether it may be acted on
	cloudTimeout = 10 * time.Second
	agentTimeout = 2 * time.Second
)

// executeCall carries out an effect that waits for an answer, and queues that.
func (d *daemon) executeCall(ctx context.Context, effect step.Effect) {
	if result := d.callStore(effect); result != nil {
		d.enqueue(ctx, result)
	} else if result := d.callCloudOrAgent(effect); result != nil {
		d.enqueue(ctx, result)
	} else {
		slog.Error("unhandled effect", "type", fmt.Sprintf("%T", effect))
	}
}

// callStore carries out a call to the key-value store; nil: the effect is none.
func (d *daemon) callStore(effect step.Effect) step.Input {
	switch v := effect.(type) {
	case step.Commit:
		outcome, result, err := d.store.Commit(v.Transaction)
		return step.CommitResult{ID: v.ID, Outcome: outcome, Result: result, Err: err}
	case step.LoadRecords:
		entries, from, until, err := d.store.LoadRecords()
		return step.LoadRecordsResult{Entries: entries, StartRevision: from, EndRevision: until, Err: err}
	case step.Watch:
		response, err := d.store.Watch(v.AfterRevision, watchTimeout)
		return step.WatchResult{AfterRevision: v.AfterRevision, Response: response, Err: err}
	case step.ReadRevision:
		revision, err := d.store.Revision()
		return step.ReadRevisionResult{Revision: revision, Err: err}
	case step.GrantLease:
		lease, err := d.store.GrantLease(v.TTL)
		return step.GrantLeaseResult{LeaseID: lease, Err: err}
	case step.RenewLease:
		return step.RenewLeaseResult{LeaseID: v.LeaseID, Err: d.store.RenewLease(v.LeaseID)}
	}
	return nil
}

// callCloudOrAgent carries out a call to the cloud or to an agent; nil: the effect is none.
func (d *daemon) callCloudOrAgent(effect step.Effect) step.Input {
	switch v := effect.(type) {
	case step.ListMachineTypes:
		machineTypes, err := d.listMachineTypes()
		return step.ListMachineTypesResult{MachineTypes: machineTypes, Err: err}
	case step.ProvisionMachines:
		return d.provisionMachines(v.Request)
	case step.TerminateMachines:
		return step.TerminateMachinesResult{Machines: v.Machines, Err: d.terminateMachines(v.Machines)}
	case step.ListInstances:
		requestedAt := d.now().Monotonic
		instances, err := d.listInstances()
		return step.ListInstancesResult{RequestedAt: requestedAt, Instances: instances, Err: err}
	case step.ProbeAgent:
		heartbeat, err := d.agents.call(http.MethodGet, v.Addr, protocol.PathAgentStatus, nil)
		return step.AgentResult{Machine: v.Machine, Heartbeat: heartbeat, Err: err}
	case step.SendCommands:
		heartbeat, err := d.agents.call(http.MethodPost, v.Addr, protocol.PathAgentCommands, v.Commands.Encode())
		return step.AgentResult{Machine: v.Machine, Heartbeat: heartbeat, Err: err}
	}
	return nil
}
