// Package requests answers users and operators.
//
// A user's request is answered from the replica of the records. One that needs a newer replica
// than this controller has is deferred: the store's current revision is read once after the
// request has come, and the answer waits until the replica has reached it. So no answer is older
// than one that the user has had from another controller. A request that would wait longer than
// Config.UserRequestTimeout is rejected, and the user is to retry.
//
// An operator's request that changes something is answered once the change is on record.
//
// The package owns the submissions that are not on record yet, the deferred requests of users and the
// pending requests of operators. It adds jobs and writes drains, through a commit.Batch only; it leaves
// cancellations to package cancellation and shard transfers to package ownership, and neither assigns
// nor stops tasks.
package requests
