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

// seedCount returns the number of seeds with which each scenario runs. The environment variable
// SEEDS sets another number than 3.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 16); err == nil {
		return n
	}
	return 3
}

func seconds[N int | float64](n N) time.Duration {
	return time.Duration(float64(n) * float64(time.Second))
}

// machineID returns the id of the n-th machine that was added to a world, counted from 1.
func machineID(n int) protocol.MachineID {
	return protocol.MachineID(fmt.Sprintf("m-%06d", n))
}

// Deployments.

// newMixedWorld returns a deployment with three controllers, eight small machines in two zones,
// and a team that has a quota.
func newMixedWorld(t *testing.T, seed uint64) *World {
	w := NewWorld(seed, 3, testMachineTypes, testTeams())
	w.traceLogsTo(t)
	w.addSmallMachines(8, testZones...)
	return w
}

// newFixedWorld returns a deployment with the given number of small machines in zone a. The cloud
// has no more machines, and the idle timeout is so long that none is scaled in.
func newFixedWorld(seed uint64, controllerCount, machineCount int) *World {
	w := NewWorld(seed, controllerCount, testMachineTypes[:1], testTeams())
	w.CloudOutOfCapacity = true
	w.restartWithConfig(func(config *step.Config) { config.IdleTimeoutFactor = 100 })
	w.addSmallMachines(machineCount, "a")
	return w
}

// traceLogsTo writes the log lines of the controllers to the test's log if TRACE is set.
func (w *World) traceLogsTo(t *testing.T) {
	if os.Getenv("TRACE") != "" {
		w.Trace = func(line string) { t.Log(line) }
	}
}

// addSmallMachines adds n small machines without boot time, in the given zones in turn, and
// returns their ids.
func (w *World) addSmallMachines(n int, zones ...protocol.Zone) (ids []protocol.MachineID) {
	for i := range n {
		ids = append(ids, w.AddMachine("small", zones[i%len(zones)], false, 0))
	}
	return ids
}

// restartWithConfig changes the configuration of the controllers and restarts all of them.
func (w *World) restartWithConfig(change func(*step.Config)) {
	change(&w.Config)
	for _, controller := range w.Controllers {
		controller.Start()
	}
}

// Jobs.

func newArray(id protocol.JobID, class string, priority protocol.Priority, taskCount int, cores, runSeconds float64) *protocol.Job {
	return &protocol.Job{
		ID: id, Class: class, Team: "core", Kind: protocol.KindArray, Priority: priority,
		TaskCount: taskCount, Cores: cores, MemoryGB: 1, Image: "b", EstimatedRunSeconds: runSeconds,
	}
}

func newGang(id protocol.JobID, class string, priority protocol.Priority, taskCount int, cores, runSeconds float64) *protocol.Job {
	job := newArray(id, class, priority, taskCount, cores, runSeconds)
	job.Kind = protocol.KindGang
	return job
}

func newService(id protocol.JobID, replicas int) *protocol.Job {
	return &protocol.Job{
		ID: id, Class: "service", Team: "core", Kind: protocol.KindService, Priority: "critical",
		TaskCount: replicas, Cores: 1, MemoryGB: 1, Image: "img-d", ImageGB: 1,
	}
}

// submitMixedJobs submits count array and gang jobs of different shapes within one minute, cancels
// some of them later, and returns the ids of all.
func submitMixedJobs(w *World, count int) []protocol.JobID {
	var ids []protocol.JobID
	for i := range count {
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

// submitLongJobs submits n jobs of two or three tasks, one job every 0.5 s from 3 s on. The jobs
// end far apart.
func (w *World) submitLongJobs(n int, team string, runSeconds float64) {
	for i := range n {
		job := newArray(protocol.JobID(fmt.Sprintf("j-8%03d", i)), "long", "standard", 2+i%2, 2, runSeconds)
		job.Team = team
		w.After(time.Duration(3000+i*500)*time.Millisecond, func() { w.Submit(job) })
	}
}

// runningJobs returns the sorted ids of the jobs that have a task on a machine.
func (w *World) runningJobs() []protocol.JobID {
	isPlaced := map[protocol.JobID]bool{}
	for _, machine := range w.Machines {
		for task, execution := range machine.tasks {
			if !machine.Terminated && execution.state != protocol.TaskExited {
				isPlaced[task.Job] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(isPlaced))
}

// cancelRunningJobs cancels up to limit running jobs whose users have not requested that yet.
func (w *World) cancelRunningJobs(limit int) {
	for _, id := range w.runningJobs() {
		if observed := w.Rules.job(id); limit > 0 && observed.accepted && !observed.cancelRequested {
			limit--
			w.After(time.Duration(w.Rand.IntN(200))*time.Millisecond, func() { w.Cancel(id) })
		}
	}
}

// queryRepeatedly queries a job and repeats its submission at all controllers, five times within
// 30 ms.
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

// submitAndQueryRepeatedly submits a job and calls queryRepeatedly as soon as the job is
// accepted. If cancelOnceAccepted is set, it also cancels the job then, and calls queryRepeatedly
// again as soon as the job is reported as ended.
func (w *World) submitAndQueryRepeatedly(job *protocol.Job, cancelOnceAccepted bool) {
	w.Submit(job)
	isAccepted := false
	var poll func()
	poll = func() {
		switch observed := w.Rules.job(job.ID); {
		case !isAccepted && observed.accepted:
			isAccepted = true
			w.queryRepeatedly(job.ID)
			if cancelOnceAccepted {
				w.Cancel(job.ID)
			}
		case isAccepted && cancelOnceAccepted && observed.reportedState.IsTerminal():
			w.queryRepeatedly(job.ID)
			return
		case isAccepted && !cancelOnceAccepted:
			return // OnJobEnd queries the job when it ends
		}
		w.After(time.Millisecond, poll)
	}
	poll()
}

// Machines.

// sortedMachines returns all machines ordered by id, including the terminated ones.
func (w *World) sortedMachines() (machines []*Machine) {
	for _, id := range slices.Sorted(maps.Keys(w.Machines)) {
		machines = append(machines, w.Machines[id])
	}
	return machines
}

// randomMachines returns a random selection of about the given fraction of the machines that are
// not terminated, ordered by id.
func (w *World) randomMachines(fraction float64) (selected []*Machine) {
	for _, m := range w.sortedMachines() {
		if !m.Terminated && w.Rand.Float64() < fraction {
			selected = append(selected, m)
		}
	}
	return selected
}

// Controllers.

// busiestController returns the controller that gets the heartbeats of the most machines with
// tasks. Among equals it returns the first.
func (w *World) busiestController() *Controller {
	machineCounts := make([]int, len(w.Controllers))
	for _, machine := range w.Machines {
		if !machine.Terminated && len(machine.tasks) > 0 {
			machineCounts[machine.controllerIndex%len(w.Controllers)]++
		}
	}
	return w.Controllers[slices.Index(machineCounts, slices.Max(machineCounts))]
}

// otherControllers returns all controllers except the given one.
func (w *World) otherControllers(controller *Controller) (others []*Controller) {
	for _, other := range w.Controllers {
		if other != controller {
			others = append(others, other)
		}
	}
	return others
}

// shardsOf returns the sorted ids of a controller's shards that have machines.
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

// setFlagsBetween sets flags after the time from and resets them after the time to.
func (w *World) setFlagsBetween(from, to time.Duration, flags ...*bool) {
	w.After(from, func() { setFlags(flags, true) })
	w.After(to, func() { setFlags(flags, false) })
}

// setFlagsFor sets flags now and resets them after a duration.
func (w *World) setFlagsFor(duration time.Duration, flags ...*bool) {
	setFlags(flags, true)
	w.After(duration, func() { setFlags(flags, false) })
}

func setFlags(flags []*bool, value bool) {
	for _, flag := range flags {
		*flag = value
	}
}

// scheduleStoreOutage schedules an outage of the store. It starts in from seconds and lasts for
// duration seconds.
func (w *World) scheduleStoreOutage(from, duration float64) {
	w.setFlagsBetween(seconds(from), seconds(from+duration), &w.Store.Unavailable)
}

// partitionMachines partitions about the given fraction of the machines now, for a duration.
func (w *World) partitionMachines(fraction float64, duration time.Duration) {
	for _, m := range w.randomMachines(fraction) {
		w.setFlagsFor(duration, &m.Partitioned)
	}
}

// partitionMachineBetween partitions a machine after the time from and ends the partition after
// the time to. It does nothing at a time at which there is no machine with that id.
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

// partitionZone partitions a zone with one controller inside. The controller does not reach the
// store, the other controllers, the users and the machines of other zones. The machines of the
// zone reach no other controller.
func (w *World) partitionZone(zone protocol.Zone, inside *Controller) {
	setFlags(inside.nonAgentLinkFaults(), true)
	w.PartitionedZones[zone] = inside
}

// endZonePartition ends the partition of a zone that partitionZone began.
func (w *World) endZonePartition(zone protocol.Zone) {
	setFlags(w.PartitionedZones[zone].nonAgentLinkFaults(), false)
	delete(w.PartitionedZones, zone)
}

// nonAgentLinkFaults returns the fault flags of all links of a controller except those to agents.
func (c *Controller) nonAgentLinkFaults() []*bool {
	return []*bool{&c.StoreUnreachable, &c.PeersUnreachable, &c.UsersUnreachable}
}

// scheduleRefusalOfBusiestController schedules that the store refuses the requests of the
// controller that is then the busiest. The refusal starts in from seconds and lasts for duration
// seconds.
func (w *World) scheduleRefusalOfBusiestController(from, duration float64) {
	w.After(seconds(from), func() { w.setFlagsFor(seconds(duration), &w.busiestController().RefusedByStore) })
}

// restartIfAlive kills the controller and starts it after the downtime. It does nothing if the
// controller is down.
func (c *Controller) restartIfAlive(downtime time.Duration) {
	if c.Alive {
		c.Kill()
		c.world.After(downtime, c.Start)
	}
}

// restartBusiestController kills the busiest controller and starts it after the downtime. It does
// nothing if that controller is down.
func (w *World) restartBusiestController(downtime time.Duration) {
	w.busiestController().restartIfAlive(downtime)
}

// replaceVersion immediately replaces the controller's process with one of the production version
// or of the new version.
func (c *Controller) replaceVersion(production bool) {
	c.Kill()
	c.RunsProductionVersion = production
	c.Start()
}

// deliverHeartbeatCopy delivers a copy of a heartbeat to the controller if the controller is alive.
func (c *Controller) deliverHeartbeatCopy(heartbeat []byte) {
	if c.Alive {
		c.DeliverHeartbeat(heartbeat, func(int, []byte) {})
	}
}

// setMissingQuotas sets the quota of every team that has none, and restarts the controllers.
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

// checkRules fails the test if a rule is violated. It prints the first violations.
func checkRules(t *testing.T, w *World, seed uint64) {
	t.Helper()
	const maxShown = 5
	if count := len(w.Rules.Violations); count > 0 {
		t.Errorf("seed %d: %d violations of the rules, want none:\n%s", seed, count, strings.Join(w.Rules.Violations[:min(maxShown, count)], "\n"))
	}
}

// checkNoTransactionTooLarge fails the test if the store has refused a transaction for its size, or a controller
// has built one that it could not send.
func checkNoTransactionTooLarge(t *testing.T, w *World, seed uint64) {
	t.Helper()
	if w.Store.TooLargeTransactions > 0 {
		t.Errorf("seed %d: the store refused %d transactions as too large, want none", seed, w.Store.TooLargeTransactions)
	}
	if count := w.LogCounts[string(logTransactionOversized)]; count > 0 {
		t.Errorf("seed %d: %d transactions were built that exceed the limits, want none", seed, count)
	}
}
