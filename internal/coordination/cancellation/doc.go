// Package cancellation takes jobs through the two steps of a cancellation: the request, from
// which on no task of the job may begin, and the confirmation, once no controller that could
// keep or begin a task is unaware of it.
//
// It owns the requested cancellations and their acknowledgements. It stops no task itself;
// package agents does so for every job whose cancellation has been requested.
package cancellation
