// Package step defines what one step of the core works with: the time, inputs and effects,
// the configuration, the status that controllers send each other and its wire form.
//
// It owns these types and Context, which all parts of the core share, and no state of its own.
// Only Core replaces the time and the effects in Context, and only commit.Replication replaces
// the replica; everybody else reads them. This package imports no other part of the core.
package step
