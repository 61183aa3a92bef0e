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
		{number: 1, name: "jobs are cancelled as the store refuses the leader, and a second later everybody", inject: cancelAsStoreRefuses},
		{number: 3, name: "a cancellation, a query or a repeated submission meets the end of the last task", inject: requestsAtJobEnd},
		{number: 4, name: "agents reach no controller, while direct commands reach them", inject: heartbeatsLostCommandsArrive},
		{number: 5, name: "controllers take over and give back, all fail, and one returns", inject: takeOverAndBack},
		{number: 8, name: "transactions without a reply are applied late, after newer ones", inject: writesAppliedLate},
		{number: 10, name: "jobs bound to one zone, arrays too, lose machines", inject: zoneBoundJobsLoseMachines},
		{number: 11, name: "more work than capacity, urgent and not, over slow links", inject: overloadOnSlowLinks},
		{number: 13, name: "leaders change ten times in two minutes, also inside an outage", inject: leaderChangesInOutage},
		{number: 14, name: "jobs of two or three tasks end far apart across a change of leader", inject: smallJobsEndAcrossLeaderChange},
		{number: 17, name: "old heartbeats arrive after newer ones, of earlier agent epochs and attempts too", inject: oldHeartbeatsOfEarlierEpochs},
		{number: 18, name: "the store is slow, or refuses the leader and then everybody, while users cancel and query", inject: slowThenRefusingStore},
		{number: 20, name: "a leader loses the store and the other controllers, and jobs are cancelled through the new one", inject: leaderWithoutStoreAndPeers},
		{number: 21, name: "a team is at its quota as the leader changes, some machines do not answer, and jobs are cancelled", inject: quotaFullAgentsUnreachable},
		{number: 22, name: "a zone with agents and a controller is partitioned for longer than lease_s", inject: zonePartitionedPastLease},
		{number: 23, name: "commands or their replies are delayed for seconds, and the machines resume", inject: commandsDelayedMachinesResume},
		{number: 24, name: "a leader fails while machines with long tasks cannot be reached or do not hear the new one", inject: leaderFailsLongTasksUnreachable},
		{number: 25, name: "heartbeats are held back until a new leader has acted, and arrive there", inject: heartbeatsHeldUntilNewLeaderActed},
		{number: 26, name: "all controllers are down for longer than lease_s", inject: allDownPastLease},
	})
}

// TestMoreFaultCombinations plays the combinations that were listed later.
func TestMoreFaultCombinations(t *testing.T) {
	runFaultCombinations(t, []faultCombination{
		{number: 2, name: "jobs are cancelled in the seconds in which one controller's work changes owners", inject: cancelDuringFailover},
		{number: 6, name: "every team is at its quota, jobs are cancelled whose machines are partitioned or hang, and the leader changes", inject: quotaFullMachinesLostLeaderChanges},
		{number: 7, name: "a transaction is applied at once and only its reply is lost, while others read what it wrote", inject: writeReplyLost},
		{number: 9, name: "an old heartbeat reaches every controller just as a new leader begins", inject: oldHeartbeatAtNewLeader},
		{number: 12, name: "new machines are up within two seconds and get work at once while writes lag, and the leader fails", inject: newMachinesWhileWritesLag},
		{number: 15, name: "users ask all controllers within milliseconds, right after acceptance, end and confirmed cancellation", inject: queriesEverywhereAtOnce},
		{number: 16, name: "one-task jobs come four a second for minutes, a quarter of them cancelled", inject: streamOfOneTaskJobs},
		{number: 19, name: "a command of a leader that has failed or been deposed arrives after the new leader's", inject: commandsOfDeposedLeader},
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
	checkNothingTooLarge(t, w, seed)
	checkRules(t, w, seed)
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) {
		if !w.FinishedJobs[id] {
			t.Errorf("seed %d: %s has not ended", seed, id)
			break
		}
	}
}
