// Package step defines the types that all parts of the core share during a step: the time, the
// inputs and effects, the configuration, the status that controllers send each other and the wire
// form of that status.
//
// The package holds no state of its own. In Context, only Core replaces the time and the effects,
// and only commit.Replication replaces the replica. All other parts only read them. This package
// imports no other part of the core.
package step
