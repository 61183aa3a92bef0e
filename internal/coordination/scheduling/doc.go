// Package scheduling plans which task runs where: queue order, quotas, free capacity, bin
// packing, gangs, services, preemption and backfill.
//
// One pass (Scheduler.PlacePendingJobs) lists the machines as candidates and the unfinished
// jobs in queue order, places arrays, gangs and services one after the other, and writes the
// placements of jobs that this controller owns into a batch. Every controller plans the jobs
// of all owners from the same records, so that all leave the same capacity to each job.
//
// Terms:
//
//   - candidate: a machine, up or being provisioned, as one pass sees it;
//   - allocation: what the tasks of one attempt of a job take of a candidate;
//   - placement: a number of tasks of a job that the pass puts on a candidate;
//   - precedence: the rank of a job by its priority and its team's guarantee. The smaller goes first.
//     Where a comment speaks of tasks of lower priority, those of larger precedence are meant;
//   - reservation: the machines that a job's record reserves, either while tasks are preempted there or,
//     for a starved job, until those that run there have ended;
//   - backfill reservation: resources for waiting tasks that are to follow running ones. It is part of
//     the plan and on no record;
//   - demand: tasks for which no candidate has capacity. Package provisioning requests machines for it.
//
// The package owns the plan of the last pass, which is computed anew each time, the warm pool, and
// the record of contended machine types; of a job's state in package agents it owns the fields that
// jobAttempts names. It acquires jobs whose owner has ended, and writes the attempt numbers, the
// placements and the reservations of jobs that this controller owns. It changes no other field of a
// job's record, and stops tasks only through package agents: single ones on machines that this
// controller owns, and gangs that save a common checkpoint as a whole.
package scheduling
