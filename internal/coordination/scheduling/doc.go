// Package scheduling decides which task runs on which machine. It covers queue order, quotas, free
// capacity, bin packing, gangs, services, preemption and backfill.
//
// One planning pass (Scheduler.PlacePendingJobs) lists the machines as candidates and the unfinished
// jobs in queue order, places arrays, gangs and services one after the other, and writes the
// placements of jobs that this controller owns into a batch. Every controller plans the jobs of all
// owners from the same records, so that all controllers leave the same capacity to each job.
//
// Terms:
//
//   - candidate: a machine, up or being provisioned, in one planning pass.
//   - allocation: the resources that the tasks of one attempt of a job occupy on a candidate.
//   - placement: a number of tasks of a job that the pass assigns to a candidate.
//   - precedence: the rank of a job by its priority and its team's guarantee. The smallest is served
//     first. In comments, "tasks of lower priority" are tasks of larger precedence.
//   - slack: how long the tasks of a job can still wait before the job misses an objective.
//   - reservation: the machines that a job's record reserves, either while tasks are preempted there or,
//     for a starved job, until the tasks that run there have ended.
//   - backfill reservation: resources for waiting tasks that are to start when running tasks end. It is
//     part of the plan and is not recorded in the store.
//   - demand: tasks for which no candidate has capacity. Package provisioning requests machines for them.
//
// The package owns the plan of the last pass, which each pass computes from scratch, the warm pool, and
// the contended machine types. Of a job's state in package agents it owns the fields that jobAttempts
// lists. It acquires jobs whose owner has ended, and writes the attempt numbers, the placements and the
// reservations of jobs that this controller owns. It changes no other field of a job's record. It stops
// tasks only through package agents: single tasks on machines that this controller owns, and whole gangs
// that save a common checkpoint.
package scheduling
