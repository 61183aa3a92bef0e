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
	// pauseThreshold is the time between two steps from which on the process itself must have
	// been paused: its ticks alone come every 50 ms.
	pauseThreshold = 2 * time.Second

	// slowTickInterval is the time between two rounds over machines, ownership and the cloud.
	slowTickInterval = 200 * time.Millisecond

	// forgetInterval is the time between two passes that drop what is remembered of machines and
	// jobs that are gone.
	forgetInterval = 2 * time.Second

	// rngStream selects the random sequence of the core.
	rngStream = 7
)

// Core is the state machine of one controller. It wires the parts, each of which owns its
// state, and passes inputs and time to them.
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
	nextForgetAt   protocol.Instant
}

// New makes the core of a controller that has read nothing yet.
func New(cfg step.Config, now step.Now) *Core {
	ctx := &step.Context{
		Config:  cfg,
		Now:     now,
		Rand:    rand.New(rand.NewPCG(cfg.Seed, rngStream)),
		Replica: storage.NewReplica(),
	}
	c := &Core{
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
	c.connect()
	ctx.Replica.OnMachineChange = c.onMachineChanged
	c.commit.Limits.UpdateWriteLimiter()
	return c
}

// Step handles one input and gives its effects.
func (c *Core) Step(now step.Now, in step.Input) []step.Effect {
	c.beginStep(now)
	c.dispatch(in)
	c.requests.Users.ReplyToPendingRequests()
	c.agents.Heartbeats.ResolveDeferredHeartbeats()
	c.commitBatches()
	c.commit.Replication.WatchRecords(c.requests.Users.HasDeferredRequests())
	return c.ctx.Effects
}

// beginStep sets the time of a step and drops the effects of the last one.
func (c *Core) beginStep(now step.Now) {
	lastStepAt := c.ctx.LastStepAt
	if lastStepAt != 0 && now.Monotonic.Sub(lastStepAt) > pauseThreshold {
		// What has arrived meanwhile lies in queues, in an order that does not tell which agent was
		// silent: silence counts from now on.
		c.ctx.ResumedAt = now.Monotonic
	}
	c.ctx.Now, c.ctx.LastStepAt = now, now.Monotonic
	c.ctx.Effects = nil
}

// dispatch passes an input to the part that handles it.
func (c *Core) dispatch(in step.Input) {
	switch v := in.(type) {
	// Users and agents.
	case step.UserInput:
		c.requests.Users.OnUserInput(v)
	case step.HeartbeatInput:
		c.agents.Heartbeats.OnHeartbeat(v)
	case step.AgentResult:
		c.ctx.ShouldRecheckDeferredHeartbeats = true
		c.agents.Calls.OnAgentResult(v)
	// The key-value store.
	case step.CommitResult:
		c.commit.Committer.OnCommitResult(v)
	case step.LoadRecordsResult:
		c.commit.Replication.OnLoadRecordsResult(v)
	case step.WatchResult:
		c.commit.Replication.OnWatchResult(v)
	case step.ReadRevisionResult:
		c.requests.Users.OnReadRevisionResult(v)
	case step.GrantLeaseResult:
		c.commit.Lease.OnGrantLeaseResult(v)
	case step.RenewLeaseResult:
		c.commit.Lease.OnRenewLeaseResult(v)
	// The cloud.
	case step.ListMachineTypesResult:
		c.catalog.Catalog.OnListMachineTypesResult(v)
	case step.ProvisionMachinesResult:
		c.provisioning.Provisioner.OnProvisionMachinesResult(v)
	case step.TerminateMachinesResult:
		c.provisioning.Terminator.OnTerminateMachinesResult(v)
	case step.ListInstancesResult:
		c.provisioning.Inventory.OnListInstancesResult(v)
	// Operators.
	case requests.TransferRequest:
		c.requests.Operators.OnTransferRequest(v)
	case requests.DrainRequest:
		c.requests.Operators.OnDrainRequest(v)
	case requests.ShardingStatusRequest:
		c.requests.Operators.OnShardingStatusRequest(v)
	// Other controllers, and time.
	case step.PeerStatusInput:
		c.onPeerStatus(v.Status)
	case step.Tick:
		c.ctx.ShouldRecheckDeferredHeartbeats = true
		c.tick()
	default:
		panic(fmt.Sprintf("coordination: unknown input %T", in))
	}
}

// onPeerStatus handles what another controller says of itself. A machine that is silent here
// and sends its heartbeats there is handed off: its agent does not reach this controller, and
// waiting would only let the agent's lease expire.
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

// tick does what time brings: what users and the lease wait for at each tick, the rest less
// often.
func (c *Core) tick() {
	c.ownership.Overload.RecordTick()
	c.commit.Replication.TickLoad()
	c.commit.Lease.TickLease()
	c.cancellation.Canceller.Tick()
	c.ownership.Peers.TickStatus()
	c.requests.Users.ExpireUserRequests()
	c.cancellation.Canceller.Expire()
	if c.isDue(&c.nextSlowTickAt, slowTickInterval) {
		c.slowTick()
	}
}

// slowTick looks after machines, ownership and the cloud.
func (c *Core) slowTick() {
	if c.commit.Replication.IsLoaded() {
		c.commit.Upgrade.RecordFormatSupport()
		c.ownership.Manager.TrackExpiredIncarnations()
	}
	c.requests.Operators.ExpireOperatorRequests()
	if c.commit.Replication.IsLoaded() {
		c.agents.Monitor.TickMachines()
		c.forgetGone()
	}
	c.cancellation.Canceller.ForceScaleIn()
	c.pollCloud()
}

// forgetGone drops, now and then, what is remembered of machines and jobs that are gone.
func (c *Core) forgetGone() {
	if !c.isDue(&c.nextForgetAt, forgetInterval) {
		return
	}
	c.agents.Table.PruneMachineStates()
	c.agents.Jobs.ForgetFinishedJobs()
}

// pollCloud makes the calls to the cloud that are due.
func (c *Core) pollCloud() {
	c.catalog.Catalog.PollMachineTypes()
	if !c.commit.Replication.IsLoaded() || !c.commit.Lease.IsRegistered() {
		return
	}
	c.provisioning.Terminator.ForgetTerminated()
	c.provisioning.Provisioner.ScaleOut()
	c.provisioning.Terminator.SendTerminations()
	c.provisioning.Inventory.PollInstances()
}

// isDue tells whether a timer has expired, and starts it anew if so.
func (c *Core) isDue(timer *protocol.Instant, interval time.Duration) bool {
	now := c.ctx.Now.Monotonic
	if now < *timer {
		return false
	}
	*timer = now.Add(interval)
	return true
}
