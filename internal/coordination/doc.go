// Package coordination is the state machine of one controller. Core.Step takes an input and
// the time, and returns what to send, write and answer. It does no I/O, reads no clock and
// starts no goroutine, so that a sequence of inputs can be repeated exactly.
//
// Core owns no state but its timers. It wires the packages below it (wiring.go), passes inputs
// to them (core.go) and fixes the order in which they write into a transaction
// (commit_cycle.go). Imports go one way:
//
//	step < catalog < commit < agents < cancellation < ownership < provisioning < scheduling < requests < coordination
//
// A package that needs something of a later one declares a small interface for it.
package coordination
