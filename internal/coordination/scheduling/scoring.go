package scheduling

import (
	"cmp"
	"slices"

	"tillerarch/internal/coordination/catalog"
	"tillerarch/internal/coordination/commit"
)

// A candidate's score is in seconds of delay: the time until the task runs there, and what the placement
// costs others, converted to an equally bad delay. The lowest score is the best.
const (
	// sizePenaltyPerCore and sizePenaltyPerAccelerator put small machine types first, so that
	// large ones stay free for what fits nowhere else: a core more is as bad as ten seconds.
	sizePenaltyPerCore        = 10
	sizePenaltyPerAccelerator = 1000
	// provisioningPenalty puts machines that are not up yet after all that are.
	provisioningPenalty = 1e6
	// maxImagePenalty bounds the delay of an image's fetch: the longest counts like six cores.
	maxImagePenalty = 60
	// spotBonus prefers spot machines, which are cheaper, to on-demand ones of the same size.
	spotBonus = 5
	// spotReplicaPenalty puts spot machines after all others for replicas: as these never end,
	// every preemption of a machine hits them.
	spotReplicaPenalty = 400
	// slowMachinePenalty puts slow machines after all others of their size: they are still used
	// when there is no other, and as they are idle first they are scaled in first.
	slowMachinePenalty = 120
	// remoteShardPenalty prefers shards of the job's owner: writing another controller's shard
	// conflicts with its owner, which writes it all the time.
	remoteShardPenalty = 8
	// extraWritePenalty prefers shards that the batch changes already: another one takes one
	// operation more of the store's write rate.
	extraWritePenalty = 1
)

// scoreCandidate ranks a machine for a task of the job, in seconds of delay.
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

// shardScope says on whose shards machines may be.
type shardScope int

const (
	allShards shardScope = iota
	ownerShards
)

// rankedCandidates lists the machines that can take a task of the job, best first, machines of
// one shard together. With ownerShards, only shards of the job's owner count.
func (s *Scheduler) rankedCandidates(batch *commit.Batch, job *PendingJob, scope shardScope) []*Candidate {
	type scoredCandidate struct {
		machine *Candidate
		score   float64
	}
	var ranked []scoredCandidate
	available := s.plan.pass.availableCandidates[:0]
	for _, machine := range s.plan.pass.availableCandidates {
		if machine.isFull() {
			continue // for all jobs that come later, too
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

// isFull tells whether no task at all fits.
func (c *Candidate) isFull() bool {
	return c.free.Cores <= catalog.Epsilon || c.free.MemoryGB <= catalog.Epsilon
}

// canTakeTask tells whether the machine has capacity for a task of the job, and may be used for it.
func (s *Scheduler) canTakeTask(job *PendingJob, machine *Candidate) bool {
	spec := job.record.Spec
	return !job.avoidedTypes[machine.record.MachineType] && machine.free.CapacityFor(spec) > 0 &&
		s.lister.isMachineAllowed(spec, machine)
}
