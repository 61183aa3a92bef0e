// Package cancellation drives the cancellation of jobs. A cancellation has two steps, both recorded in
// the store:
//
//  1. The request. From then on no controller assigns a task of the job, no agent is commanded to
//     start one, and the owners of the machines stop the running tasks. A request is never revoked.
//     Users still see the job as queued or running.
//  2. The confirmation, which records the job as cancelled. It is written once every controller that
//     could start a task of the job, or keep one running, knows the request.
//
// A single write is not sufficient. A controller whose watch is stalled does not read the write, and
// continues to answer the agents of its machines for as long as the outage of the store lasts. The
// outage may last longer than the time within which the tasks of a cancelled job must stop. The user
// would have been told that the job is cancelled while tasks run and new tasks start. The
// confirmation alone is a promise to the user, and the request alone binds only the controllers that
// have read it. Therefore controllers also send requests to each other directly, and acknowledge
// them. Before the confirmation, one of these conditions must be true for each machine with tasks of the
// job:
//
//   - This controller owns the machine, and the machine is quiescent for the job by this controller's
//     own state (IsMachineQuiescent).
//   - Another controller owns the machine and has acknowledged the request. The acknowledgement means
//     that the owner's machines are quiescent for the job and that the owner's process is bound by the
//     request even while its replica is stalled. The acknowledgement carries the revision of the
//     sender's replica, which must not be older than the ownership.
//   - The cloud has confirmed that the machine is terminated.
//
// The acknowledgement of an ended incarnation does not count, because its process may be partitioned
// together with its agents and continue to run. Instead, the successor must have shown the agent the
// fencing token of the new ownership, or the machine must be terminated. A controller that takes over
// a shard already knows the request, because it answers no agent before its replica contains its own
// write.
//
// There is one exception. If the same controller owns the job and all machines with tasks of the job,
// and these machines are all quiescent, a single write confirms the cancellation
// (canCancelDirectly).
//
// The package owns the cancellations that this controller drives, the requests and acknowledgements
// that controllers exchange, and the decision to force the scale-in of a machine on which a cancelled
// task is stuck. It stops no tasks itself, because package agents stops the tasks of every job whose
// cancellation has been requested. It changes job records only through a commit.Batch, and terminates
// machines only through a ForcedTerminator. It calls agents only to probe those whose machine's owner
// is silent during an outage of the store (ForceScaleIn).
package cancellation
