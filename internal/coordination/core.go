package coordination

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tillerarch/internal/coordination/agents"
	"tillerarch/internal/coordination/cancellation"
	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
	"tillerarch/internal/coordination/ownership"
	"tillerarch/internal/coordination/provisioning"
	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/scheduling"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

const (
	// pauseThreshold is the longest time between two steps of a running process. After a longer time
	// the process must have been paused, because its ticks alone come every 50 ms.
	pauseThreshold = 2 * time.Second

	// slowTickInterval is the time between two checks of machines, ownership and the cloud.
	slowTickInterval = 200 * time.Millisecond

	// pruneInterval is the time between two removals of the state of machines without a record and of
	// finished jobs.
	pruneInterval = 2 * time.Second

	// rngStream selects the random sequence of the core.
	rngStream = 7
)

// Core is the state machine of one controller. It connects its parts, each of which owns its own
// state, and passes inputs and the time to them.
type Core struct {
	ctx *step.Context

	catalog      *catalog.Parts
	commit       *commit.Parts
	agents       *agents.Parts
	cancellation *cancellation.Parts
	ownership    *ownership.Parts
	provisioning *provisioning.Parts
	scheduling   *scheduling.Parts
	requests     *requests.Parts

	nextSlowTickAt protocol.Instant
	nextPruneAt    protocol.Instant
}

// New returns the core of a controller that has read nothing from the store yet.
func New(config step.Config, now step.Now) *Core {
	ctx := &step.Context{
		Config:  config,
		Now:     now,
		Rand:    rand.New(rand.NewPCG(config.Seed, rngStream)),
		Replica: storage.NewReplica(),
	}
	core := &Core{
		ctx:          ctx,
		catalog:      catalog.New(ctx),
		commit:       commit.New(ctx),
		agents:       agents.New(ctx),
		cancellation: cancellation.New(ctx),
		ownership:    ownership.New(ctx),
		provisioning: provisioning.New(ctx),
		scheduling:   scheduling.New(ctx),
		requests:     requests.New(ctx),
	}
	core.connectParts()
	ctx.Replica.OnMachineChange = core.onMachineChanged
	core.commit.Limits.UpdateWriteLimiter()
	return core
}

// Step handles one input and returns its effects.
func (c *Core) Step(now step.Now, input step.Input) []step.Effect {
	c.beginStep(now)
	c.dispatch(input)
	c.requests.Users.ReplyToPendingRequests()
	c.agents.Heartbeats.ResolveDeferredHeartbeats()
	c.commitBatches()
	c.commit.Replication.WatchRecords(c.requests.Users.HasDeferredRequests())
	return c.ctx.Effects
}

// beginStep sets the time of a step and discards the effects of the previous step.
func (c *Core) beginStep(now step.Now) {
	lastStepAt := c.ctx.LastStepAt
	if lastStepAt != 0 && now.Monotonic.Sub(lastStepAt) > pauseThreshold {
		// Messages that arrived during the pause wait in queues, and their order does not show which
		// agent was silent. Silence is therefore measured from now on.
		c.ctx.ResumedAt = now.Monotonic
	}
	c.ctx.Now, c.ctx.LastStepAt = now, now.Monotonic
	c.ctx.Effects = nil
}

// dispatch passes an input to the part that handles it.
func (c *Core) dispatch(input step.Input) {
	switch input := input.(type) {
	// Users and agents.
	case step.UserInput:
		c.requests.Users.OnUserInput(input)
	case step.HeartbeatInput:
		c.agents.Heartbeats.OnHeartbeat(input)
	case step.AgentResult:
		c.ctx.ShouldRecheckDeferredHeartbeats = true
		c.agents.Calls.OnAgentResult(input)
	// The key-value store.
	case step.CommitResult:
		c.commit.Committer.OnCommitResult(input)
	case step.LoadRecordsResult:
		c.commit.Replication.OnLoadRecordsResult(input)
	case step.WatchResult:
		c.commit.Replication.OnWatchResult(input)
	case step.ReadRevisionResult:
		c.requests.Users.OnReadRevisionResult(input)
	case step.GrantLeaseResult:
		c.commit.Lease.OnGrantLeaseResult(input)
	case step.RenewLeaseResult:
		c.commit.Lease.OnRenewLeaseResult(input)
	// The cloud.
	case step.ListMachineTypesResult:
		c.catalog.Catalog.OnListMachineTypesResult(input)
	case step.ProvisionMachinesResult:
		c.provisioning.Provisioner.OnProvisionMachinesResult(input)
	case step.TerminateMachinesResult:
		c.provisioning.Terminator.OnTerminateMachinesResult(input)
	case step.ListInstancesResult:
		c.provisioning.Inventory.OnListInstancesResult(input)
	// Operators.
	case requests.TransferRequest:
		c.requests.Operators.OnTransferRequest(input)
	case requests.DrainRequest:
		c.requests.Operators.OnDrainRequest(input)
	case requests.ShardingStatusRequest:
		c.requests.Operators.OnShardingStatusRequest(input)
	// Other controllers, and time.
	case step.PeerStatusInput:
		c.onPeerStatus(input.Status)
	case step.Tick:
		c.ctx.ShouldRecheckDeferredHeartbeats = true
		c.tick()
	default:
		panic(fmt.Sprintf("coordination: unknown input %T", input))
	}
}

// onPeerStatus handles the status of another controller. A machine that is silent for this
// controller and sends its heartbeats to the other controller is handed off, because its agent does
// not reach this controller and waiting would only let the agent's lease expire.
func (c *Core) onPeerStatus(status step.PeerStatus) {
	c.ownership.Peers.RecordStatus(&status)
	c.cancellation.Canceller.OnPeerCancellations(&status)
	c.ownership.Manager.RecordMisdirectedHeartbeats(&status)
}

// onMachineChanged handles the change of a machine's record in the replica.
func (c *Core) onMachineChanged(id protocol.MachineID, before, after *storage.MachineRecord) {
	c.ctx.ShouldRecheckDeferredHeartbeats = true
	if before != nil && after != nil {
		c.scheduling.Services.RecordExitedReplicas(id, before, after)
	}
	c.agents.Table.RecordAssignments(id, before, after)
}

// tick runs the periodic work. Work that users or the lease wait for runs at each tick, and the rest
// at slowTickInterval.
func (c *Core) tick() {
	c.ownership.Overload.RecordTick()
	c.commit.Replication.TickLoad()
	c.commit.Lease.TickLease()
	c.cancellation.Canceller.UpdateAcknowledgements()
	c.ownership.Peers.TickStatus()
	c.requests.Users.ExpireUserRequests()
	c.cancellation.Canceller.ExpireUnwrittenRequests()
	if c.restartTimerIfDue(&c.nextSlowTickAt, slowTickInterval) {
		c.slowTick()
	}
}

// slowTick runs the periodic work on machines, ownership, operators' requests and the cloud.
func (c *Core) slowTick() {
	if c.commit.Replication.IsLoaded() {
		c.commit.Upgrade.RecordFormatSupport()
		c.ownership.Manager.TrackExpiredIncarnations()
	}
	c.requests.Operators.ExpireOperatorRequests()
	if c.commit.Replication.IsLoaded() {
		c.agents.Monitor.TickMachines()
		c.pruneMachineAndJobStates()
	}
	c.cancellation.Canceller.ForceScaleIn()
	c.pollCloud()
}

// pruneMachineAndJobStates removes, once per pruneInterval, the state of machines without a record and
// of finished jobs.
func (c *Core) pruneMachineAndJobStates() {
	if !c.restartTimerIfDue(&c.nextPruneAt, pruneInterval) {
		return
	}
	c.agents.Table.PruneMachineStates()
	c.agents.Jobs.ForgetFinishedJobs()
}

// pollCloud sends the requests to the cloud that are due.
func (c *Core) pollCloud() {
	c.catalog.Catalog.PollMachineTypes()
	if !c.commit.Replication.IsLoaded() || !c.commit.Lease.IsRegistered() {
		return
	}
	c.provisioning.Terminator.ForgetRemovedMachines()
	c.provisioning.Provisioner.ScaleOut()
	c.provisioning.Terminator.SendTerminations()
	c.provisioning.Inventory.PollInstances()
}

// restartTimerIfDue reports whether a timer has expired and, if so, starts it again.
func (c *Core) restartTimerIfDue(timer *protocol.Instant, interval time.Duration) bool {
	now := c.ctx.Now.Monotonic
	if now < *timer {
		return false
	}
	*timer = now.Add(interval)
	return true
}
