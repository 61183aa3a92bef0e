package storage

import "tillerarch/internal/protocol"

// completedIndex finds the completed tasks of a job without a walk over all shards.
type completedIndex struct {
	shards setIndex[protocol.JobID, ShardID] // shards whose records list completed tasks of a job
	cached map[protocol.JobID]TaskSet        // results of CompletedTasks, until a record changes them
}

func newCompletedIndex() completedIndex {
	return completedIndex{
		shards: setIndex[protocol.JobID, ShardID]{},
		cached: map[protocol.JobID]TaskSet{},
	}
}

// invalidate drops the cached result of a job.
func (x *completedIndex) invalidate(job protocol.JobID) { delete(x.cached, job) }

// replaceShard replaces what a shard's record contributed; old or current may be nil.
func (x *completedIndex) replaceShard(id ShardID, old, current *Shard) {
	if old != nil {
		for job := range old.CompletedTasks {
			x.invalidate(job)
			x.shards.remove(job, id)
		}
	}
	if current != nil {
		for job := range current.CompletedTasks {
			x.invalidate(job)
			x.shards.add(job, id)
		}
	}
}

// CompletedTasks is the set of completed tasks of a job: those in its own record, and those
// that only shards list.
func (r *Replica) CompletedTasks(id protocol.JobID) TaskSet {
	if tasks, ok := r.completedIndex.cached[id]; ok {
		return tasks
	}
	var tasks TaskSet
	if entry := r.Jobs[id]; entry != nil {
		if spec := entry.Record.Spec; spec != nil && spec.IsService() {
			return tasks // tasks of a service never complete, whatever an earlier version has recorded
		}
		tasks = entry.Record.CompletedTasks
	}
	for shard := range r.completedIndex.shards[id] {
		tasks = tasks.Union(r.Shards[shard].CompletedTasks[id])
	}
	r.completedIndex.cached[id] = tasks
	return tasks
}
