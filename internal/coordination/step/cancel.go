package step

import (
	"tillerarch/internal/protocol"
)

// A job is withdrawn in two steps, both on record. The intent comes first: from then
// on its claimant assigns nothing, and owners start nothing and stop its tasks. The
// job is called withdrawn once nobody who could keep or begin a task of it is unaware:
// a controller whose watch stands still would else go on answering its workers for as
// long as an outage lasts. An intent is never taken back.
//
// For each machine that has an attempt of the job on record behind the intent, its
// owner answers for it: this controller by what it knows itself (settled), another one
// by an acknowledgement, which binds its process. A run that has ended answers for
// nothing, as its process may be cut off with its workers and go on: its heir must have
// been shown the token by the worker. Who takes a page over, or begins, knows the
// intent by then: it answers no worker before its replica has its own write.

// CancelIntent is the fact that a job is being withdrawn, for controllers whose replicas do
// not have it yet.
type CancelIntent struct {
	Job      protocol.JobID
	Revision protocol.Revision // at which it is on record
}
