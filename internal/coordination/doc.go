// Package coordination implements the state machine of one controller. Core.Step takes an input
// and the time, and returns the effects: the messages to send, the transactions to write and the
// requests to answer. Core does no I/O, reads no clock and starts no goroutine, so that a sequence
// of inputs can be replayed exactly.
//
// Core owns no state except its timers. It connects the packages below it (wiring.go), passes
// inputs to them (core.go) and determines the order in which they write into a transaction
// (commit_cycle.go). Each package imports only packages to its left:
//
//	step < catalog < commit < agents < cancellation < ownership < provisioning < scheduling < requests < coordination
//
// A package that depends on a later one declares a small interface for it.
package coordination
