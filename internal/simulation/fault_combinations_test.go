package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// faultCombination is two faults at once. Its number is its line in the users' list and its row
// in docs/design.md.
type faultCombination struct {
	number int
	name   string
	inject func(w *World) // plans faults that are over by faultsEnd
}

const (
	faultsEnd    = 110 * time.Second
	recoveryTime = 170 * time.Second
)

// TestFaultCombinations plays the combinations that the users' list had first.
func TestFaultCombinations(t *testing.T) {
	runFaultCombinations(t, []faultCombination{
		{1, "jobs are cancelled as the store refuses the leader, and a second later everybody", cancelAsStoreRefuses},
		{3, "a cancellation, a query or a repeated submission meets the end of the last task", requestsAtJobEnd},
		{4, "agents reach no controller, while direct commands reach them", heartbeatsLostCommandsArrive},
		{5, "controllers take over and give back, all fail, and one returns", takeOverAndBack},
		{8, "transactions without a reply are applied late, after newer ones", writesAppliedLate},
		{10, "jobs bound to one zone, arrays too, lose machines", zoneBoundJobsLoseMachines},
		{11, "more work than capacity, urgent and not, over slow links", overloadOnSlowLinks},
		{13, "leaders change ten times in two minutes, also inside an outage", leaderChangesInOutage},
		{14, "jobs of two or three tasks end far apart across a change of leader", smallJobsEndAcrossLeaderChange},
		{17, "old heartbeats arrive after newer ones, of earlier agent epochs and attempts too", oldHeartbeatsOfEarlierEpochs},
		{18, "the store is slow, or refuses the leader and then everybody, while users cancel and query", slowThenRefusingStore},
		{20, "a leader loses the store and the other controllers, and jobs are cancelled through the new one", leaderWithoutStoreAndPeers},
		{21, "a team is at its quota as the leader changes, some machines do not answer, and jobs are cancelled", quotaFullAgentsUnreachable},
		{22, "a zone with agents and a controller is partitioned for longer than lease_s", zonePartitionedPastLease},
		{23, "commands or their replies are delayed for seconds, and the machines resume", commandsDelayedMachinesResume},
		{24, "a leader fails while machines with long tasks cannot be reached or do not hear the new one", leaderFailsLongTasksUnreachable},
		{25, "heartbeats are held back until a new leader has acted, and arrive there", heartbeatsHeldUntilNewLeaderActed},
		{26, "all controllers are down for longer than lease_s", allDownPastLease},
	})
}

// TestMoreFaultCombinations plays the combinations that were listed later.
func TestMoreFaultCombinations(t *testing.T) {
	runFaultCombinations(t, []faultCombination{
		{2, "jobs are cancelled in the seconds in which one controller's work changes owners", cancelDuringFailover},
		{6, "every team is at its quota, jobs are cancelled whose machines are partitioned or hang, and the leader changes", quotaFullMachinesLostLeaderChanges},
		{7, "a transaction is applied at once and only its reply is lost, while others read what it wrote", writeReplyLost},
		{9, "an old heartbeat reaches every controller just as a new leader begins", oldHeartbeatAtNewLeader},
		{12, "new machines are up within two seconds and get work at once while writes lag, and the leader fails", newMachinesWhileWritesLag},
		{15, "users ask all controllers within milliseconds, right after acceptance, end and confirmed cancellation", queriesEverywhereAtOnce},
		{16, "one-task jobs come four a second for minutes, a quarter of them cancelled", streamOfOneTaskJobs},
		{19, "a command of a leader that has failed or been deposed arrives after the new leader's", commandsOfDeposedLeader},
	})
}

func runFaultCombinations(t *testing.T, combinations []faultCombination) {
	t.Helper()
	for _, c := range combinations {
		t.Run(fmt.Sprintf("%d %s", c.number, c.name), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seedCount(); seed++ {
				runFaultCombination(t, seed, c.inject)
			}
		})
	}
}

// runFaultCombination plays a day: no rule is broken, and every job ends once the faults are
// over.
func runFaultCombination(t *testing.T, seed uint64, inject func(w *World)) {
	t.Helper()
	w := newMixedWorld(t, seed)
	submitMixedJobs(w, 24)
	w.sendUnusualRequests(seconds(10), faultsEnd-seconds(5))
	inject(w)
	w.Advance(faultsEnd)
	w.MessageLossRate, w.DuplicateHeartbeatRate, w.CancelAtEndRate, w.LostWriteReplyRate, w.DelayedCommandRate = 0, 0, 0, 0, 0
	w.Rules.FaultsEndedAt = w.Now
	w.Advance(recoveryTime)
	w.Rules.CheckFinal(w.Now)
	checkNoTransactionTooLarge(t, w, seed)
	checkRules(t, w, seed)
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) {
		if !w.FinishedJobs[id] {
			t.Errorf("seed %d: %s has not ended", seed, id)
			break
		}
	}
}
