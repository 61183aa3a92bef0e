// Package cancellation drives the two steps of cancelling a job, both of them on record:
//
//  1. The request (the intent). From it on no controller assigns a task of the job, and no agent
//     is commanded to start one; the owners of the machines stop what runs. It is never
//     revoked. To users the job is still queued or running.
//  2. The confirmation: the job is cancelled. It is written once no controller that could start
//     a task of the job, or keep one running, is unaware of the request.
//
// One write would not do. The owner of a machine whose watch is stalled does not read it, and
// goes on answering its agents for as long as the outage of the store lasts, which may be longer
// than the time in which a cancelled job must have stopped. The user would have been
// answered "cancelled" while tasks run, and new ones start. The confirmation alone is a promise to the
// user; the request alone binds only those who have read it. So controllers send requests to each
// other directly as well, and acknowledge them:
//
//   - For a machine that it owns, a controller decides by its own state: the machine is quiescent
//     for the job (IsMachineQuiescent).
//   - For a machine of another owner, that owner's acknowledgement counts: the same is true
//     there, and its process is bound by the request even while its replica is stalled. The
//     acknowledgement carries the revision of the sender's replica, which must not be older than
//     the ownership.
//   - The cloud has confirmed that the machine is terminated.
//
// The acknowledgement of an ended incarnation does not count: its process may be partitioned
// together with its agents and go on. Its successor must have shown the agent the fencing token of the new
// ownership, or the machine must be terminated. A controller that takes over a shard knows the
// request by then, as it answers no agent before its replica has its own write.
//
// The one exception is a job whose machines are all quiescent and owned by the controller that also
// owns the job: one write confirms it (canCancelDirectly).
//
// The package owns the cancellations that this controller drives, the intents and acknowledgements
// exchanged with the others, and the decision to force the scale-in of a machine on which a cancelled
// task is stuck. It stops no task itself; package agents does so for every job whose cancellation has
// been requested. It changes job records only through a commit.Batch, terminates machines only
// through a ForcedTerminator, and calls an agent only to probe one whose owner is silent during an
// outage of the store (ForceScaleIn).
package cancellation
