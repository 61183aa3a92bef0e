// Package agents deals with the agents of machines: it answers heartbeats with commands,
// notices machines that cannot be reached, stops tasks, and reconciles the records of owned
// machines with what their agents show.
//
// It owns what is remembered of machines (MachineState) and jobs (JobState) beyond their
// records, the heartbeats whose responses wait, and the direct calls to agents that are in
// flight. It places no task, changes no ownership and terminates no machine; it writes only to
// the records of machines that this controller owns, and what follows from those for jobs.
//
// A heartbeat passes through HeartbeatHandler (heartbeats.go, commands.go). What it proves is
// written by Reconciler with the next transaction. Monitor looks after agents between heartbeats,
// with direct calls through Caller.
package agents
