// Package provisioning scales the fleet out and in. It requests machines for demand that no existing
// machine can take, terminates machines that are not needed or cannot be reached, and compares the
// machine records with the cloud's list of instances.
//
// The package owns the provision requests and terminations in progress, the pools in which the cloud
// has too few machines, the idle periods of owned machines, the last list of instances, and the
// machines whose records were removed recently. It places no tasks, and takes the demand from the
// scheduler's plan. It changes machine records only through a commit.Batch. It terminates a machine
// that is not recorded as terminating only on behalf of package cancellation
// (Terminator.TerminateUnrecorded).
package provisioning
