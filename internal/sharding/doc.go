// Package sharding decides which controller should own which machines, and how the
// ownership of a page of machines passes from one controller to another. It is pure: it
// looks at a snapshot of the records and says what is to be written. The coordination
// layer takes the snapshots and writes, in transactions that rest on the stamps of what
// the decision was taken from.
//
//   - Plan proposes moves that even out the load (plan.go).
//   - Next tells what a controller has to do for a move that is on record (move.go).
//   - Heir and IsFailoverDue tell who takes over the pages of a dead run, and when
//     (takeover.go).
//   - ShouldHandOffShard tells when the workers of a page have gone to another controller
//     (handover.go).
package sharding
