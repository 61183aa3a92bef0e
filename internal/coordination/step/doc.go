// Package step defines what one step of the core works with: the time, inputs and effects,
// the configuration, the status that controllers send each other and its wire form.
//
// Context is shared by all parts of the core. Only Core replaces the time and the effects,
// and only commit.Replication replaces the replica; everybody else reads them.
package step
