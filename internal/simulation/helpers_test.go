package simulation

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

var (
	testMachineTypes = SmallAndLargeTypes
	testZones        = []protocol.Zone{"a", "b"}
)

func testTeams() map[string]step.Quota {
	return map[string]step.Quota{"core": {}, "tight": {MaxCores: 10}}
}

// seedCount is how many days of each kind are played; SEEDS asks for more.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 16); err == nil {
		return n
	}
	return 3
}

func seconds[N int | float64](n N) time.Duration {
	return time.Duration(float64(n) * float64(time.Second))
}

// machineID is the id of the n-th machine that was added to a world, from 1.
func machineID(n int) protocol.MachineID {
	return protocol.MachineID(fmt.Sprintf("m-%06d", n))
}

// Deployments.

// newMixedWorld is a deployment with eight small machines in two zones and a team that has a
// quota.
func newMixedWorld(t *testing.T, seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.traceLogsTo(t)
	w.addSmallMachines(8, testZones...)
	return w
}

// newFixedWorld is a deployment with the given number of small machines in zone a; the cloud
// has no more, and none is scaled in for being idle.
func newFixedWorld(seed uint64, controllers, machineCount int) *World {
	w := NewWorld(seed, controllers, testMachineTypes[:1], testTeams())
	w.CloudOutOfCapacity = true
	w.restartWithConfig(func(config *step.Config) { config.IdleTimeoutFactor = 100 })
	w.addSmallMachines(machineCount, "a")
	return w
}

// traceLogsTo logs what controllers log, if TRACE is set.
func (w *World) traceLogsTo(t *testing.T) {
	if os.Getenv("TRACE") != "" {
		w.Trace = func(line string) { t.Log(line) }
	}
}

// addSmallMachines adds machines that are up at once, to one zone after the other.
func (w *World) addSmallMachines(n int, zones ...protocol.Zone) (ids []protocol.MachineID) {
	for i := range n {
		ids = append(ids, w.AddMachine("small", zones[i%len(zones)], false, 0))
	}
	return ids
}

// restartWithConfig changes the configuration of all controllers and restarts them with it.
func (w *World) restartWithConfig(change func(*step.Config)) {
	change(&w.Config)
	for _, controller := range w.Controllers {
		controller.Start()
	}
}

// Jobs.

func newArray(id protocol.JobID, class string, priority protocol.Priority, tasks int, cores, runSeconds float64) *protocol.Job {
	return &protocol.Job{
		ID: id, Class: class, Team: "core", Kind: protocol.KindArray, Priority: priority,
		TaskCount: tasks, Cores: cores, MemoryGB: 1, Image: "b", EstimatedRunSeconds: runSeconds,
	}
}

func newGang(id protocol.JobID, class string, priority protocol.Priority, tasks int, cores, runSeconds float64) *protocol.Job {
	job := newArray(id, class, priority, tasks, cores, runSeconds)
	job.Kind = protocol.KindGang
	return job
}

func newService(id protocol.JobID, replicas int) *protocol.Job {
	return &protocol.Job{
		ID: id, Class: "service", Team: "core", Kind: protocol.KindService, Priority: "critical",
		TaskCount: replicas, Cores: 1, MemoryGB: 1, Image: "img-d", ImageGB: 1,
	}
}

// submitMixedJobs submits jobs of every kind over the first minute; some are cancelled.
func submitMixedJobs(w *World, n int) []protocol.JobID {
	var ids []protocol.JobID
	for i := range n {
		job := newMixedJob(w, i)
		ids = append(ids, job.ID)
		w.After(time.Duration(w.Rand.IntN(60000))*time.Millisecond, func() { w.Submit(job) })
		if i%9 == 4 {
			w.After(time.Duration(20000+w.Rand.IntN(50000))*time.Millisecond, func() {
				if w.Jobs[job.ID] != nil {
					w.Cancel(job.ID)
				}
			})
		}
	}
	return ids
}

func newMixedJob(w *World, index int) *protocol.Job {
	job := &protocol.Job{
		ID: protocol.JobID(fmt.Sprintf("j-%06d", index)), Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard",
		TaskCount: 1 + w.Rand.IntN(12), Cores: 2, MemoryGB: 1,
		Image: fmt.Sprintf("img-%d", index%3), ImageGB: 1, AllowSpot: index%2 == 0, EstimatedRunSeconds: 6,
	}
	switch index % 6 {
	case 1: // a gang of one task that needs a whole large machine
		job.Kind, job.Priority, job.TaskCount, job.Cores = protocol.KindGang, "high", 1, 30
	case 2: // a gang in one zone, with checkpoints
		job.Kind, job.Priority, job.TaskCount, job.SingleZone = protocol.KindGang, "high", 2+w.Rand.IntN(4), true
		job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = 5, 1
	case 3:
		job.Team = "tight"
	case 4:
		job.SpreadZones = true
	case 5:
		job.Priority, job.Zone, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = "low", "b", 3, 1
	}
	return job
}

// submitLongJobs submits jobs of few tasks that end far apart.
func (w *World) submitLongJobs(n int, team string, runSeconds float64) {
	for i := range n {
		job := newArray(protocol.JobID(fmt.Sprintf("j-8%03d", i)), "long", "standard", 2+i%2, 2, runSeconds)
		job.Team = team
		w.After(time.Duration(3000+i*500)*time.Millisecond, func() { w.Submit(job) })
	}
}

// runningJobs lists the jobs of which a task is on a machine, in order.
func (w *World) runningJobs() []protocol.JobID {
	isPlaced := map[protocol.JobID]bool{}
	for _, m := range w.Machines {
		for task, execution := range m.tasks {
			if !m.Terminated && execution.state != protocol.TaskExited {
				isPlaced[task.Job] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(isPlaced))
}

// cancelRunningJobs lets users cancel up to n jobs that run.
func (w *World) cancelRunningJobs(limit int) {
	for _, id := range w.runningJobs() {
		if observed := w.Rules.job(id); limit > 0 && observed.accepted && !observed.cancelRequested {
			limit--
			w.After(time.Duration(w.Rand.IntN(200))*time.Millisecond, func() { w.Cancel(id) })
		}
	}
}

// queryRepeatedly queries a job at all controllers and repeats its submission, again and again
// within milliseconds.
func (w *World) queryRepeatedly(id protocol.JobID) {
	body := protocol.Encode(w.Jobs[id])
	for _, controller := range w.Controllers {
		for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 8 * time.Millisecond, 30 * time.Millisecond} {
			w.After(delay, func() {
				w.SendUserRequestTo(controller, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
				w.SendUserRequestTo(controller, protocol.RequestSubmit, id, body, func(int, protocol.JobState) {})
			})
		}
	}
}

// submitAndQueryRepeatedly submits a job and queries it as soon as it is accepted. If it is to
// be cancelled, that is requested at once too, and the job is queried again as soon as the
// cancellation is confirmed.
func (w *World) submitAndQueryRepeatedly(job *protocol.Job, cancel bool) {
	w.Submit(job)
	accepted := false
	var poll func()
	poll = func() {
		switch observed := w.Rules.job(job.ID); {
		case !accepted && observed.accepted:
			accepted = true
			w.queryRepeatedly(job.ID)
			if cancel {
				w.Cancel(job.ID)
			}
		case accepted && cancel && observed.reportedState.IsTerminal():
			w.queryRepeatedly(job.ID)
			return
		case accepted && !cancel:
			return // OnJobEnd queries it at its end
		}
		w.After(time.Millisecond, poll)
	}
	poll()
}

// Machines.

// sortedMachines lists all machines ordered by id, also those that are terminated.
func (w *World) sortedMachines() (machines []*Machine) {
	for _, id := range slices.Sorted(maps.Keys(w.Machines)) {
		machines = append(machines, w.Machines[id])
	}
	return machines
}

// randomMachines selects about the given part of the machines, in order.
func (w *World) randomMachines(fraction float64) (selected []*Machine) {
	for _, m := range w.sortedMachines() {
		if !m.Terminated && w.Rand.Float64() < fraction {
			selected = append(selected, m)
		}
	}
	return selected
}

// Controllers.

// busiestController is the controller that gets the heartbeats of most machines with tasks; of
// equal ones it is the first.
func (w *World) busiestController() *Controller {
	machineCounts := make([]int, len(w.Controllers))
	for _, m := range w.Machines {
		if !m.Terminated && len(m.tasks) > 0 {
			machineCounts[m.controllerIndex%len(w.Controllers)]++
		}
	}
	return w.Controllers[slices.Index(machineCounts, slices.Max(machineCounts))]
}

// otherControllers are all controllers but one.
func (w *World) otherControllers(controller *Controller) (others []*Controller) {
	for _, other := range w.Controllers {
		if other != controller {
			others = append(others, other)
		}
	}
	return others
}

// shardsOf lists the shards of a controller that have machines, in order.
func (w *World) shardsOf(controller *Controller) (ids []storage.ShardID) {
	for id, shard := range w.History.shards {
		if shard.Owner.Controller() == controller.ID && len(shard.Machines) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Faults.

// setFlagsBetween sets flags from one time to another, both from now.
func (w *World) setFlagsBetween(from, to time.Duration, flags ...*bool) {
	w.After(from, func() { setFlags(flags, true) })
	w.After(to, func() { setFlags(flags, false) })
}

// setFlagsFor sets flags now, for a while.
func (w *World) setFlagsFor(duration time.Duration, flags ...*bool) {
	setFlags(flags, true)
	w.After(duration, func() { setFlags(flags, false) })
}

func setFlags(flags []*bool, value bool) {
	for _, flag := range flags {
		*flag = value
	}
}

// scheduleStoreOutage makes the store unavailable from a time on, for a while; both in seconds.
func (w *World) scheduleStoreOutage(from, duration float64) {
	w.setFlagsBetween(seconds(from), seconds(from+duration), &w.Store.Unavailable)
}

// partitionMachines partitions about the given part of the machines now, for a while.
func (w *World) partitionMachines(fraction float64, duration time.Duration) {
	for _, m := range w.randomMachines(fraction) {
		w.setFlagsFor(duration, &m.Partitioned)
	}
}

// partitionMachineBetween partitions a machine, if there is one of that id by then.
func (w *World) partitionMachineBetween(from, to time.Duration, id protocol.MachineID) {
	setPartitioned := func(partitioned bool) func() {
		return func() {
			if m := w.Machines[id]; m != nil {
				m.Partitioned = partitioned
			}
		}
	}
	w.After(from, setPartitioned(true))
	w.After(to, setPartitioned(false))
}

// partitionZone cuts a zone off, with a controller in it, from the store, the other controllers
// and the users.
func (w *World) partitionZone(zone protocol.Zone, inside *Controller) {
	setFlags(inside.nonAgentLinkFaults(), true)
	w.PartitionedZones[zone] = inside
}

// endZonePartition ends what partitionZone began.
func (w *World) endZonePartition(zone protocol.Zone) {
	setFlags(w.PartitionedZones[zone].nonAgentLinkFaults(), false)
	delete(w.PartitionedZones, zone)
}

// nonAgentLinkFaults are the faults of all links of a controller but those to agents.
func (c *Controller) nonAgentLinkFaults() []*bool {
	return []*bool{&c.StoreUnreachable, &c.PeersUnreachable, &c.UsersUnreachable}
}

// scheduleRefusalOfBusiestController lets the store refuse the controller that is the busiest at that
// time, for a while; both in seconds.
func (w *World) scheduleRefusalOfBusiestController(from, duration float64) {
	w.After(seconds(from), func() { w.setFlagsFor(seconds(duration), &w.busiestController().RefusedByStore) })
}

// restartIfAlive kills the controller and starts it again after the downtime, unless it is
// down already.
func (c *Controller) restartIfAlive(downtime time.Duration) {
	if c.Alive {
		c.Kill()
		c.world.After(downtime, c.Start)
	}
}

// restartBusiestController is restartIfAlive of the busiest controller.
func (w *World) restartBusiestController(downtime time.Duration) {
	w.busiestController().restartIfAlive(downtime)
}

// replaceVersion replaces the controller's process by one of another version at once.
func (c *Controller) replaceVersion(production bool) {
	c.Kill()
	c.RunsProductionVersion = production
	c.Start()
}

// deliverHeartbeatCopy gives the controller a copy of a heartbeat, if it is alive.
func (c *Controller) deliverHeartbeatCopy(heartbeat []byte) {
	if c.Alive {
		c.DeliverHeartbeat(heartbeat, func(int, []byte) {})
	}
}

// setMissingQuotas gives every team without a quota one.
func (w *World) setMissingQuotas(cores float64) {
	teams := map[string]step.Quota{}
	for name, team := range w.Config.Quotas {
		if team.MaxCores == 0 {
			team.MaxCores = cores
		}
		teams[name] = team
		w.Rules.QuotaLimits[name] = team.MaxCores
	}
	w.restartWithConfig(func(config *step.Config) { config.Quotas = teams })
}

// Checks.

// checkRules checks that no rule is broken; it shows the first violations.
func checkRules(t *testing.T, w *World, seed uint64) {
	t.Helper()
	const maxShown = 5
	if count := len(w.Rules.Violations); count > 0 {
		t.Errorf("seed %d: %d rules broken:\n%s", seed, count, strings.Join(w.Rules.Violations[:min(maxShown, count)], "\n"))
	}
}

// checkNoTransactionTooLarge checks that the store has refused no transaction for its size.
func checkNoTransactionTooLarge(t *testing.T, w *World, seed uint64) {
	t.Helper()
	if w.Store.TooLargeTransactions > 0 {
		t.Errorf("seed %d: %d transactions too large", seed, w.Store.TooLargeTransactions)
	}
}
