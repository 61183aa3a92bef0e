// Package requests answers users and operators.
//
// A user's request is answered from the replica of the records. A request that needs a newer
// replica than this controller has is deferred: the store's current revision is read once after
// the request was received, and the answer waits until the replica has reached that revision. So no
// answer is older than an answer that the user has received from another controller. A request that
// would wait longer than Config.UserRequestTimeout is rejected, and the user must retry.
//
// An operator's request that changes something is answered once the change is recorded in the store.
//
// The package owns the submissions that are not recorded yet, the deferred requests of users and the
// pending requests of operators. It adds jobs and writes drains, both only through a commit.Batch.
// It leaves cancellations to package cancellation and shard transfers to package ownership, and it
// neither assigns nor stops tasks.
package requests
