// Package requests answers users and operators.
//
// A user's request is answered from the replica of the records. One that needs a newer replica
// than this controller has is deferred: the store's current revision is read once after the
// request has come, and the answer waits until the replica has reached it. So no answer is older
// than one that the user has had from another controller. Whoever would wait longer than
// Config.UserRequestTimeout is told to ask again.
//
// An operator's request that changes something is answered once the change is on record.
//
// The package owns the submissions that are not on record yet and the deferred requests. It
// changes records only through a commit.Batch, leaves cancellations to package cancellation and
// the phases of shard transfers to package ownership, and neither assigns nor stops tasks.
package requests
