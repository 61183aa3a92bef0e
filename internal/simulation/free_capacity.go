package simulation

import (
	"maps"
	"slices"

	"tillerarch/internal/protocol"
)

// capacityTolerance is the tolerance of comparisons of cores and GB, which are sums of fractions.
const capacityTolerance = 1e-9

// freeCapacity holds the free cores and memory of a machine.
type freeCapacity struct {
	machine         *Machine
	cores, memoryGB float64
}

// tasksThatFit returns the number of tasks of a job that fit on the machine. It returns 0 for
// spot machines, because whether they may be used depends on their price too.
func (f freeCapacity) tasksThatFit(job *protocol.Job) int {
	cores, memoryGB := f.cores+capacityTolerance, f.memoryGB+capacityTolerance
	if f.machine.Spot || !job.AllowsPlacement(f.machine.Type, f.machine.Zone) || cores < job.Cores || memoryGB < job.MemoryGB {
		return 0
	}
	return int(min(cores/job.Cores, memoryGB/job.MemoryGB))
}

// clusterUsage holds the resources that the tasks on all machines use, and the free resources.
type clusterUsage struct {
	freeCapacities []freeCapacity
	coresByTeam    map[string]float64
	placedTasks    map[protocol.Task]bool
}

func (w *World) currentUsage() clusterUsage {
	usage := clusterUsage{coresByTeam: map[string]float64{}, placedTasks: map[protocol.Task]bool{}}
	for _, id := range slices.Sorted(maps.Keys(w.Machines)) {
		machine := w.Machines[id]
		if machine.Terminated || machine.sequence == 0 {
			continue
		}
		free := freeCapacity{machine: machine}
		for i := range w.MachineTypes {
			if w.MachineTypes[i].Name == machine.Type {
				free.cores, free.memoryGB = w.MachineTypes[i].Cores, w.MachineTypes[i].MemoryGB
			}
		}
		for task, execution := range machine.tasks {
			if execution.state == protocol.TaskExited {
				continue
			}
			job := w.Jobs[task.Job]
			free.cores -= job.Cores
			free.memoryGB -= job.MemoryGB
			usage.coresByTeam[job.Team] += job.Cores
			usage.placedTasks[task] = true
		}
		if machine.preemptAt == 0 && !machine.Faulty {
			usage.freeCapacities = append(usage.freeCapacities, free)
		}
	}
	return usage
}

// checkPlaceableJobs records with the rule checker which jobs have pending tasks that fit on
// machines.
func (w *World) checkPlaceableJobs() {
	usage := w.currentUsage()
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) {
		w.Rules.RecordPlaceable(w.Now, id, w.isPlaceable(w.Jobs[id], usage))
	}
}

// isPlaceable reports whether at least one of a job's pending tasks, or all of a gang's, can be
// placed now. It does not solve zone constraints that concern several tasks together. Jobs with
// such constraints count as not placeable.
func (w *World) isPlaceable(job *protocol.Job, usage clusterUsage) bool {
	const maxCountedTasks = 500
	completed := w.Rules.job(job.ID).completedTasks
	pendingCount := 0
	for index := range min(job.TaskCount, maxCountedTasks) {
		if !completed[index] && !usage.placedTasks[protocol.Task{Job: job.ID, Index: index}] {
			pendingCount++
		}
	}
	tasksNeeded := 1
	if job.IsGang() {
		tasksNeeded = pendingCount
	}
	maxCores := w.Rules.QuotaLimits[job.Team]
	isWithinQuota := maxCores == 0 || usage.coresByTeam[job.Team]+float64(tasksNeeded)*job.Cores <= maxCores+capacityTolerance
	tasksThatFit := 0
	for _, free := range usage.freeCapacities {
		tasksThatFit += free.tasksThatFit(job)
	}
	hasNoJointZoneConstraint := (tasksNeeded == 1 || !job.SingleZone && !job.SpreadZones) && (!job.SpreadZones || job.TaskCount == 1)
	return pendingCount > 0 && isWithinQuota && tasksThatFit >= tasksNeeded && hasNoJointZoneConstraint
}
