// Package scheduling plans which task runs where: queue order, quotas, free capacity, bin
// packing, gangs, services, preemption and backfill.
//
// It owns the plan of the last pass, which is computed anew each time from the records, and
// the warm pool. It writes placements only for jobs that this controller owns.
package scheduling
