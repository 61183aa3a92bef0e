// Package scheduling plans which task runs where: queue order, quotas, free capacity, bin
// packing, gangs, services, preemption and backfill.
//
// One pass (Scheduler.PlacePendingJobs) lists the machines as candidates and the unfinished
// jobs in queue order, places arrays, gangs and services one after the other, and writes the
// placements of jobs that this controller owns into a batch. Every controller plans the jobs
// of all owners from the same records, so that all leave the same capacity to each job.
//
// The package owns the plan of the last pass, which is computed anew each time, the warm pool,
// and the record of contended machine types. It writes placements, attempt numbers and machine
// reservations of jobs that this controller owns; it changes no other field of a job's record,
// and stops tasks only on machines that this controller owns.
package scheduling
