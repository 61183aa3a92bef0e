// Package agents communicates with the agents that run on machines. It answers heartbeats with
// commands, detects machines that cannot be reached, stops tasks, and reconciles the records of
// owned machines with the tasks that their agents report.
//
// The package owns the in-memory state of machines (MachineState) and jobs (JobState), the
// heartbeats whose responses are deferred, and the direct calls to agents that are in flight. It
// places no task, changes no ownership and terminates no machine. It writes only to the records of
// machines that this controller owns, and to the records of jobs whose tasks ran on those machines.
//
// HeartbeatHandler processes each heartbeat (heartbeats.go, commands.go). Reconciler writes the
// resulting changes of records with the next transaction. Monitor supervises agents between
// heartbeats and calls them directly through Caller.
package agents
