// Package agents deals with the agents of machines: it answers heartbeats with commands,
// notices machines that cannot be reached, stops tasks, and reconciles the records of owned
// machines with what their agents report.
//
// It owns what is remembered of machines (MachineState) and jobs (JobState) beyond their
// records, and the calls to agents that are in flight. It places no task.
package agents
