// Package provisioning scales the fleet out and in: it requests machines for demand that no
// machine can take, returns those that are not needed or cannot be reached, and compares the
// records with the cloud's list of instances.
//
// It owns the requests and terminations under way and the last list of instances. It places
// no task; what is needed comes from the scheduler's plan.
package provisioning
