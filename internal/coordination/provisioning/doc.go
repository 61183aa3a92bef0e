// Package provisioning scales the fleet out and in: it requests machines for demand that no
// machine can take, terminates those that are not needed or cannot be reached, and compares the
// records with the cloud's list of instances.
//
// It owns the provision requests and terminations under way, the pools that the cloud has too few
// machines of, the idle periods of owned machines, the last list of instances, and which machines have
// left the records lately. It places no task; what is needed comes from the scheduler's plan. It
// changes machine records only through a commit.Batch. It terminates a machine whose record does not
// say so only for package cancellation (Terminator.TerminateUnrecorded).
package provisioning
