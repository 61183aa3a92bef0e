package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// faultCombination is a scenario of two faults at the same time. Its number is its line in the
// users' list and its row in docs/design.md.
type faultCombination struct {
	number int
	name   string
	inject func(w *World) // schedules faults that are over by faultsEnd
}

const (
	faultsEnd    = 110 * time.Second // time from the start of the world to the end of the faults
	recoveryTime = 170 * time.Second // time between the end of the faults and the checks
)

// TestFaultCombinations runs the combinations that the users listed first.
func TestFaultCombinations(t *testing.T) {
	runFaultCombinations(t, []faultCombination{
		{1, "jobs are cancelled while the store refuses the busiest controller, and a second later all controllers", cancelAsStoreRefuses},
		{3, "a cancellation, a query or a repeated submission arrives as the last task ends", requestsAtJobEnd},
		{4, "agents reach no controller, while direct commands reach them", heartbeatsLostCommandsArrive},
		{5, "all controllers fail, one returns and takes over, and the others return later", allFailOneReturnsFirst},
		{8, "transactions without a reply are applied late, after newer ones", writesAppliedLate},
		{10, "jobs that are bound to one zone, gangs and arrays, lose machines", zoneBoundJobsLoseMachines},
		{11, "urgent and other jobs exceed the capacity, and links are slow", overloadOnSlowLinks},
		{13, "the busiest controller restarts ten times in two minutes, also during a store outage", repeatedRestartsAndOutage},
		{14, "jobs of two or three tasks end far apart while the busiest controller restarts", smallJobsEndAcrossFailover},
		{17, "old heartbeats, also of earlier agent epochs and attempts, arrive after newer ones", oldHeartbeatsOfEarlierEpochs},
		{18, "the store is slow, or refuses the busiest controller and then all controllers, while users cancel and query", slowThenRefusingStore},
		{20, "the busiest controller loses the store and the other controllers, and jobs are cancelled through the new owners of its shards", busiestControllerWithoutStoreAndPeers},
		{21, "a team is at its quota while the busiest controller fails, some machines do not answer, and jobs are cancelled", quotaFullAgentsUnreachable},
		{22, "a zone with agents and a controller is partitioned for longer than lease_s", zonePartitionedPastLease},
		{23, "commands or their replies are delayed for seconds, and the machines resume", commandsDelayedMachinesResume},
		{24, "the owner of machines with long tasks fails while the machines are partitioned or do not receive commands", ownerFailsLongTasksUnreachable},
		{25, "heartbeats are held back until the new owner of their machines has acted, and then reach it", heartbeatsHeldPastFailover},
		{26, "all controllers are down for longer than lease_s", allDownPastLease},
	})
}

// TestMoreFaultCombinations runs the combinations that the users listed later.
func TestMoreFaultCombinations(t *testing.T) {
	runFaultCombinations(t, []faultCombination{
		{2, "jobs are cancelled in the seconds in which the shards of one controller change owners", cancelDuringFailover},
		{6, "every team is at its quota, jobs whose machines are partitioned or hang are cancelled, and the busiest controller restarts", quotaFullMachinesLostControllersRestart},
		{7, "a transaction is applied at once and only its reply is lost, while others read what it wrote", writeReplyLost},
		{9, "old heartbeats reach every controller just as shards get new owners", oldHeartbeatsDuringFailover},
		{12, "new machines are up within two seconds and get work at once while writes lag, and the busiest controller fails", newMachinesWhileWritesLag},
		{15, "users query all controllers within milliseconds, right after a job's acceptance, end and confirmed cancellation", queriesEverywhereAtOnce},
		{16, "users submit four one-task jobs a second for minutes, and cancel a quarter of them", streamOfOneTaskJobs},
		{19, "commands of a controller that has failed or lost its shards arrive after those of the new owner", commandsOfFormerOwner},
	})
}

// runFaultCombinations runs each combination with several seeds.
func runFaultCombinations(t *testing.T, combinations []faultCombination) {
	t.Helper()
	for _, combination := range combinations {
		t.Run(fmt.Sprintf("%d %s", combination.number, combination.name), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				runFaultCombination(t, seed, combination.inject)
			}
		})
	}
}

// runFaultCombination runs one combination with one seed. No rule may be broken, and every job must
// end once the faults are over.
func runFaultCombination(t *testing.T, seed uint64, inject func(w *World)) {
	t.Helper()
	w := newMixedWorld(t, seed)
	submitMixedJobs(w, 24)
	w.sendUnusualRequests(seconds(10), faultsEnd-seconds(5))
	inject(w)
	w.Advance(faultsEnd)
	w.MessageLossRate, w.DuplicateHeartbeatRate, w.CancelAtEndRate, w.LostWriteReplyRate = 0, 0, 0, 0
	w.DelayedCommandRate, w.RepeatedCommandRate = 0, 0
	w.Rules.FaultsEndedAt = w.Now
	w.Advance(recoveryTime)
	w.Rules.CheckFinal(w.Now)
	checkNoTransactionTooLarge(t, w, seed)
	checkRules(t, w, seed)
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) {
		if !w.FinishedJobs[id] {
			t.Errorf("seed %d: job %s has not ended", seed, id)
			break
		}
	}
}
