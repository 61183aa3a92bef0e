package coordination

import (
	"log/slog"
	"sort"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// termination is a machine on its way back to the cloud.
type termination struct {
	retryAt    protocol.Instant
	inFlight   bool
	confirmed  bool // answered 200: the machine and all on it are gone
	unrecorded bool // nothing on record says so
}

// isolatedTimeoutFactor is how many times as long machines are waited for where nearly all are
// silent, so that it may be this node that is cut off. Their workers would have reached
// another controller by then, which would have been handed them: nobody reaches them.
const isolatedTimeoutFactor = 2

// listedInstance is what the cloud's list says of a machine.
type listedInstance struct {
	instance    protocol.Instance
	listedAt    protocol.Instant // when the list that had it was asked for
	missedLists int              // later lists in a row without it
}

func (c *Core) onMachineTypes(v ListMachineTypesResult) {
	c.isListingMachineTypes = false
	if v.Err != nil {
		c.nextMachineTypesAt = c.now.Monotonic.Add(c.jitter(2 * time.Second))
		c.log(slog.LevelWarn, "machine types are not known", "err", v.Err.Error())
		return
	}
	c.machineTypes = v.MachineTypes
	c.nextMachineTypesAt = c.now.Monotonic.Add(c.jitter(c.cfg.PriceCheckInterval))
	for _, f := range v.MachineTypes {
		for _, z := range f.Zones {
			k := priceKey{f.Name, z}
			t := c.spotThresholds[k]
			if t == nil {
				c.spotThresholds[k] = NewSpotPriceThreshold(c.cfg.SpotPriceWindow, c.now.Monotonic, f.SpotPrice, f.OnDemandPrice)
				continue
			}
			if t.Observe(c.now.Monotonic, f.SpotPrice, f.OnDemandPrice) {
				c.log(slog.LevelInfo, "spot halts, price above threshold", "type", string(f.Name), "zone", string(z),
					"price", f.SpotPrice, "threshold", t.Value())
			}
		}
	}
}

// pollMachineTypes reads the machine types and their prices again when that is due.
func (c *Core) pollMachineTypes() {
	if !c.isListingMachineTypes && c.now.Monotonic >= c.nextMachineTypesAt {
		c.isListingMachineTypes = true
		c.emit(ListMachineTypes{})
	}
}

// forgetTerminated drops what is remembered of machines that went back long ago.
func (c *Core) forgetTerminated() {
	for id, at := range c.terminatedAt {
		if c.since(at) > terminatedRetention {
			delete(c.terminatedAt, id)
		}
	}
}

// terminatedRetention is how long a machine that went back is remembered: the cloud's list may
// show it for as long.
const terminatedRetention = 90 * time.Second

// sendTerminations sends the releases that are due, in one call.
func (c *Core) sendTerminations() {
	now := c.now.Monotonic
	var ids []protocol.MachineID
	for id, r := range c.terminations {
		if e := c.replica.Machines[id]; e == nil || !r.unrecorded && (!c.ownsMachine(&e.Record) || !e.Record.Terminating) {
			delete(c.terminations, id)
			continue
		}
		if !r.confirmed && !r.inFlight && now >= r.retryAt && len(ids) < protocol.MaxTerminateCount {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 && !c.isTerminating {
		sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
		for _, id := range ids {
			c.terminations[id].inFlight = true
		}
		c.isTerminating = true
		c.emit(TerminateMachines{ids})
	}
}

// pollInstances reads the cloud's list of machines when that is due.
func (c *Core) pollInstances() {
	now := c.now.Monotonic
	if c.silentOwnedMachines > 0 {
		c.nextInstanceListAt = min(c.nextInstanceListAt, c.lastInstanceListAt.Add(c.cfg.SilentInstanceListInterval))
	}
	if !c.isListingInstances && now >= c.nextInstanceListAt {
		c.lastInstanceListAt = now
		c.isListingInstances = true
		c.nextInstanceListAt = now.Add(c.jitter(c.cfg.InstanceListInterval))
		c.emit(ListInstances{})
	}
}

func (c *Core) onTerminateResult(v TerminateMachinesResult) {
	c.isTerminating = false
	for _, id := range v.Machines {
		r := c.terminations[id]
		if r == nil {
			continue
		}
		r.inFlight = false
		if v.Err != nil {
			r.retryAt = c.now.Monotonic.Add(c.jitter(time.Second))
			continue
		}
		r.confirmed = true
	}
	if v.Err != nil {
		c.log(slog.LevelWarn, "release failed", "machines", len(v.Machines), "err", v.Err.Error())
	}
}

// markTerminating marks an owned machine's record; the release is sent once that is
// durable, so that nobody places anything there meanwhile.
func (c *Core) markTerminating(b *batch, id protocol.MachineID, reason string) {
	b.mutableMachine(id).Terminating = true
	b.log(slog.LevelInfo, "machine goes back", "machine", string(id), "why", reason)
}

// evaluateScaleIn decides whether an owned machine goes back, and why.
func (c *Core) evaluateScaleIn(e *storage.Machine, m *machineState, isolated bool) {
	if e.Record.Terminating {
		if c.terminations[m.id] == nil && c.isRegistered() {
			c.terminations[m.id] = &termination{}
		}
		return
	}
	if m.scaleInReason = c.scaleInReasonFor(e, m, isolated); m.scaleInReason != "" {
		c.scaleInQueue = append(c.scaleInQueue, m.id)
	}
}

func (c *Core) scaleInReasonFor(e *storage.Machine, m *machineState, isolated bool) string {
	rec := &e.Record
	machineType := c.machineType(rec.MachineType)
	age := millisToDuration(c.now.Wall - rec.AddedAt)
	if rec.AgentEpoch == 0 {
		if machineType == nil {
			return ""
		}
		bootTimeout := time.Duration(float64(protocol.Seconds(machineType.BootSeconds))*c.cfg.BootTimeoutFactor) + c.cfg.BootTimeoutMargin
		// Its age alone says nothing of a machine that this node has only just
		// found in the list or taken over: its worker gets the time to report.
		if age > bootTimeout && c.since(m.lastContactAt) > protocol.Seconds(machineType.BootSeconds) {
			return "never came up"
		}
		if l := c.listedInstances[m.id]; l != nil && l.instance.State == protocol.InstanceFailed {
			return "failed while it booted"
		}
		return ""
	}
	sinceContact := c.timeSinceContact(m)
	// The list does not come by way of the workers' network: what it no longer has is gone,
	// also where most machines of this node are silent.
	if l := c.listedInstances[m.id]; l != nil && c.isSilent(m) {
		if l.instance.State == protocol.InstanceFailed {
			return "failed"
		}
		if l.missedLists >= 2 {
			return "no longer listed"
		}
	}
	if silenceTimeout := c.cfg.AgentLeaseTTL + c.cfg.SilentScaleInDelay; m.deferredRequest == 0 && (sinceContact > silenceTimeout && !isolated || sinceContact > isolatedTimeoutFactor*silenceTimeout) {
		return "silent"
	}
	if m.commandsLost() && c.since(m.commandsLostAt) > c.cfg.AgentLeaseTTL+c.cfg.SilentScaleInDelay {
		return "answers do not reach it"
	}
	if m.isFaulty && len(rec.Assignments) == 0 {
		return "faulty"
	}
	// A withdrawn task that will not go takes its machine with it.
	if c.mustForceScaleIn(m, rec, isolated) {
		if c.storeUnavailableEverywhere() {
			c.terminateUnrecorded(m.id)
		}
		return "withdrawn task would not go"
	}
	if len(rec.Assignments) > 0 || c.lastPlan.retainedMachines[m.id] || m.latestHeartbeat != nil && c.hasLiveTasks(m) {
		m.idleSince = 0
		return ""
	}
	if m.idleSince == 0 {
		m.idleSince = c.now.Monotonic
	}
	idleFor := c.since(m.idleSince)
	if idleFor > c.idleTimeout(m, machineType) && age > c.cfg.MinMachineAge {
		return "idle"
	}
	return ""
}

// idleTimeout is how long an idle machine is kept: about as long as it would
// take to have its like again, up and with its images.
func (c *Core) idleTimeout(m *machineState, machineType *protocol.MachineType) time.Duration {
	if machineType == nil {
		return time.Minute
	}
	replacementSeconds := machineType.BootSeconds
	if machineType.ImagePullGBPerSecond > 0 && len(m.cachedImages) > 0 {
		totalGB := 0.0
		for _, i := range m.cachedImages {
			totalGB += i.sizeGB
		}
		replacementSeconds += totalGB / float64(len(m.cachedImages)) / machineType.ImagePullGBPerSecond
	}
	factor := c.cfg.IdleTimeoutFactor
	if !c.warmPool.shouldRetain(m.id) {
		factor *= surplusIdleFactor
	}
	return time.Duration(replacementSeconds * factor * float64(time.Second))
}

func (c *Core) hasLiveTasks(m *machineState) bool {
	for i := range m.latestHeartbeat.Tasks {
		if m.latestHeartbeat.Tasks[i].State != protocol.TaskExited {
			return true
		}
	}
	return false
}

func (c *Core) onInstanceList(v ListInstancesResult) {
	c.isListingInstances = false
	if v.Err != nil {
		c.log(slog.LevelDebug, "machine list failed", "err", v.Err.Error())
		return
	}
	if !c.replication.isLoaded {
		return
	}
	listed := map[protocol.MachineID]bool{}
	for _, instance := range v.Instances {
		if !instance.ID.IsValid() {
			continue
		}
		listed[instance.ID] = true
		c.listedInstances[instance.ID] = &listedInstance{instance: instance, listedAt: v.RequestedAt}
	}
	for id, l := range c.listedInstances {
		// Lists come late and out of order: one that lacks a machine counts
		// only if it was asked for well after one that had it.
		if !listed[id] && v.RequestedAt.Sub(l.listedAt) > 0 {
			if l.missedLists++; l.missedLists > 5 {
				delete(c.listedInstances, id)
			}
		}
	}
	// A machine that reported but was never listed counts as missing too, once
	// it must have been.
	for id, e := range c.replica.Machines {
		if !listed[id] && c.listedInstances[id] == nil && millisToDuration(c.now.Wall-e.Record.AddedAt) > 3*c.cfg.InstanceListLag+5*time.Second {
			c.listedInstances[id] = &listedInstance{instance: protocol.Instance{ID: id}, listedAt: v.RequestedAt}
		}
	}
}

// adoptOrphanedInstances are listed machines that no record tells of: late rentals, or ones
// whose renter died before it wrote them down. They are adopted, to be used or
// returned.
func (c *Core) adoptOrphanedInstances(b *batch) {
	orphaned := selectKeys(c.listedInstances, func(l *listedInstance) bool { return c.replica.Machines[l.instance.ID] == nil })
	for _, id := range orphaned {
		l := c.listedInstances[id]
		if l.missedLists > 0 || l.instance.AgeSeconds < 20 || l.instance.Type == "" || !b.canAddMachine() || b.machines[id] != nil {
			continue
		}
		if _, ok := c.terminatedAt[id]; ok || !c.isSuccessor(string(id)) || c.provisioning.isGranted(id) {
			continue
		}
		b.addMachine(id, &storage.MachineRecord{Address: l.instance.Addr, MachineType: l.instance.Type, Zone: l.instance.Zone,
			Spot: l.instance.Spot, AddedAt: c.now.Wall - protocol.Millis(l.instance.AgeSeconds*1000)}, 0)
		b.log(slog.LevelInfo, "unexpected machine adopted from the list", "machine", string(id))
	}
}

// writeTerminations marks the machines that are to go back.
func (c *Core) writeTerminations(b *batch) {
	for _, id := range c.scaleInQueue {
		e := c.replica.Machines[id]
		if m := c.machineStates[id]; m != nil && m.scaleInReason != "" && e != nil && c.ownsMachine(&e.Record) && !e.Record.Terminating && b.hasCapacity(b.writesNeeded(id)) && !b.removesMachine(id) {
			if m.scaleInReason == "idle" && (b.machines[id] != nil || len(e.Record.Assignments) > 0) {
				continue
			}
			c.markTerminating(b, id, m.scaleInReason)
			m.scaleInReason = ""
		}
	}
}

// beginScaleInReview begins to ask anew which of the owned machines go back.
func (c *Core) beginScaleInReview(silent int) {
	c.silentOwnedMachines = silent
	c.scaleInQueue = c.scaleInQueue[:0]
}
