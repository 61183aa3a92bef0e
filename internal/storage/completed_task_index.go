package storage

import "tillerarch/internal/protocol"

// completedTaskIndex makes it possible to find the completed tasks of a job without iterating
// over all shards.
type completedTaskIndex struct {
	shardsByJob setIndex[protocol.JobID, ShardID] // shards whose records list completed tasks of a job
	cachedTasks map[protocol.JobID]TaskSet        // results of CompletedTasks that are still valid
}

func newCompletedTaskIndex() completedTaskIndex {
	return completedTaskIndex{
		shardsByJob: setIndex[protocol.JobID, ShardID]{},
		cachedTasks: map[protocol.JobID]TaskSet{},
	}
}

// invalidateJob deletes the cached result of a job.
func (x *completedTaskIndex) invalidateJob(job protocol.JobID) { delete(x.cachedTasks, job) }

// replaceShard replaces the index entries of a shard's previous record by those of its current
// record. Nil represents a missing record.
func (x *completedTaskIndex) replaceShard(id ShardID, previous, current *Shard) {
	if previous != nil {
		for job := range previous.CompletedTasks {
			x.invalidateJob(job)
			x.shardsByJob.remove(job, id)
		}
	}
	if current != nil {
		for job := range current.CompletedTasks {
			x.invalidateJob(job)
			x.shardsByJob.add(job, id)
		}
	}
}

// CompletedTasks returns the set of completed tasks of a job. The set consists of the tasks in
// the job's own record and of those that only shards list. It is empty for a service.
func (r *Replica) CompletedTasks(id protocol.JobID) TaskSet {
	if tasks, ok := r.completedTaskIndex.cachedTasks[id]; ok {
		return tasks
	}
	var tasks TaskSet
	if entry := r.Jobs[id]; entry != nil {
		if spec := entry.Record.Spec; spec != nil && spec.IsService() {
			return tasks // tasks of a service never complete, but an earlier version may have recorded some
		}
		tasks = entry.Record.CompletedTasks
	}
	for shard := range r.completedTaskIndex.shardsByJob[id] {
		tasks = tasks.Union(r.Shards[shard].CompletedTasks[id])
	}
	r.completedTaskIndex.cachedTasks[id] = tasks
	return tasks
}
