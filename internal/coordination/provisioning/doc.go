// Package provisioning scales the fleet out and in: it requests machines for demand that no
// machine can take, terminates those that are not needed or cannot be reached, and compares the
// records with the cloud's list of instances.
//
// It owns the provision requests and terminations under way, the idle periods of owned machines
// and the last list of instances. It places no task; what is needed comes from the scheduler's
// plan. It changes machine records only through the batches it is handed.
package provisioning
