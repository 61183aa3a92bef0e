package scheduling

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
)

// A candidate's score is a delay in seconds: the time until the task runs there, plus the cost of the
// placement to other tasks, converted to an equally bad delay. The candidate with the lowest score is best.
const (
	// sizePenaltyPerCore and sizePenaltyPerAccelerator prefer small machine types, so that large ones
	// stay free for tasks that fit nowhere else. One more core is as bad as a delay of ten seconds.
	sizePenaltyPerCore        = 10
	sizePenaltyPerAccelerator = 1000
	// provisioningPenalty ranks machines that are not up yet after all machines that are.
	provisioningPenalty = 1e6
	// maxImagePenalty bounds the delay for fetching an image. The longest fetch counts like six cores.
	maxImagePenalty = 60
	// spotBonus prefers spot machines, which are cheaper, to on-demand machines of the same size.
	spotBonus = 5
	// spotReplicaPenalty ranks spot machines after all others for replicas. Replicas never end, so every
	// preemption of a spot machine by the cloud hits them.
	spotReplicaPenalty = 400
	// slowMachinePenalty ranks slow machines after all others of their size. They are still used when there
	// are no others. As they become idle first, they are scaled in first.
	slowMachinePenalty = 120
	// remoteShardPenalty prefers shards of the job's owner. A write to another controller's shard conflicts
	// with the writes of its owner, which writes it all the time.
	remoteShardPenalty = 8
	// extraWritePenalty prefers shards that the batch changes already. Any other shard costs one more
	// operation of the store's write rate.
	extraWritePenalty = 1
)

// scoreCandidate returns the score of a machine for a task of the job, in seconds of delay.
func (s *Scheduler) scoreCandidate(batch *commit.Batch, job *PendingJob, machine *Candidate) float64 {
	spec := job.record.Spec
	score := machine.machineType.Cores*sizePenaltyPerCore + machine.machineType.Accelerators*sizePenaltyPerAccelerator
	if machine.isProvisioning {
		return score + provisioningPenalty
	}
	state := machine.state
	if spec.IsService() {
		score += machine.imageFetchTime(spec).Seconds()
	} else if !state.HasImage(spec.Image) {
		score += min(catalog.ImageFetchSeconds(machine.machineType, spec), maxImagePenalty)
	}
	switch {
	case machine.record.Spot && spec.IsService():
		score += spotReplicaPenalty
	case machine.record.Spot:
		score -= spotBonus
	}
	if state != nil && state.Slowdown.IsSlow() {
		score += slowMachinePenalty
	}
	if machine.record.Owner != job.record.Owner {
		score += remoteShardPenalty
	} else if state == nil || state.DeferredRequest == 0 {
		score += s.Config.HeartbeatInterval.Seconds() / 2 // the mean wait for the next heartbeat
	}
	if !batch.ChangesShard(machine.record.Shard) {
		score += extraWritePenalty
	}
	return score
}

// shardScope restricts the shards whose machines may be used.
type shardScope int

const (
	allShards shardScope = iota
	ownerShards
)

// rankedCandidates returns the machines that can take a task of the job, best first, with machines of one
// shard next to each other. With scope ownerShards, it considers only shards of the job's owner.
func (s *Scheduler) rankedCandidates(batch *commit.Batch, job *PendingJob, scope shardScope) []*Candidate {
	type scoredCandidate struct {
		machine *Candidate
		score   float64
	}
	var ranked []scoredCandidate
	available := s.plan.pass.availableCandidates[:0]
	for _, machine := range s.plan.pass.availableCandidates {
		if machine.isFull() {
			continue // nor can any later job use the machine
		}
		available = append(available, machine)
		if scope == ownerShards && machine.record.Owner != job.record.Owner {
			continue
		}
		if s.canTakeTask(job, machine) {
			ranked = append(ranked, scoredCandidate{machine, s.scoreCandidate(batch, job, machine)})
		}
	}
	s.plan.pass.availableCandidates = available
	slices.SortFunc(ranked, func(left, right scoredCandidate) int {
		return cmp.Or(
			cmp.Compare(left.score, right.score),
			cmp.Compare(left.machine.record.Shard, right.machine.record.Shard),
			cmp.Compare(left.machine.id, right.machine.id))
	})
	machines := make([]*Candidate, len(ranked))
	for i := range ranked {
		machines[i] = ranked[i].machine
	}
	return machines
}

// isFull reports whether no task fits on the machine.
func (c *Candidate) isFull() bool {
	return c.free.Cores <= catalog.Epsilon || c.free.MemoryGB <= catalog.Epsilon
}

// canTakeTask reports whether the machine has capacity for a task of the job and may be used for it.
func (s *Scheduler) canTakeTask(job *PendingJob, machine *Candidate) bool {
	spec := job.record.Spec
	return !job.avoidedTypes[machine.record.MachineType] && machine.free.CapacityFor(spec) > 0 &&
		s.lister.isMachineAllowed(spec, machine)
}
