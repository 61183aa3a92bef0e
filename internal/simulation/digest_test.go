package simulation

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"tillerarch/internal/transport"
)

// productionPeerMessage is a message between controllers with plain types and with the names by which
// gob finds the fields in the version in production. That version does not read a field that is
// encoded under another name, so that such a field is empty here.
type productionPeerMessage struct {
	Member  string
	StateOK bool
	Run     string
	Fit     bool
	Seen    []productionMisdirectedHeartbeat
	Rev     uint64
	Intents []productionCancelRequest
	Acks    []string
}

// productionMisdirectedHeartbeat is a heartbeat that reached a controller which does not own the machine.
type productionMisdirectedHeartbeat struct {
	Machine string
	Session uint64
	Tally   uint64
}

// productionCancelRequest is a cancellation request as controllers announce it to each other.
type productionCancelRequest struct {
	Job string
	Rev uint64
}

// readAsProduction returns, as JSON, what the version in production reads of a message between
// controllers.
func readAsProduction(message any) ([]byte, error) {
	stream, err := transport.AppendFrame(nil, message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	frame, rest, err := transport.SplitFrame(stream)
	if err != nil || len(rest) > 0 {
		return nil, fmt.Errorf("split: %v, %d bytes left", err, len(rest))
	}
	var received productionPeerMessage
	if err := transport.DecodeFrame(frame, &received); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return json.Marshal(received)
}

// formatRequestError returns the text of the error of an operator's request, and whether the request
// may be repeated. The text is empty if there is no error.
func formatRequestError(err error) string {
	var refused *requests.RequestError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &refused):
		return fmt.Sprintf("%q transient=%t", refused.Reason, refused.Transient)
	}
	return fmt.Sprintf("%q", err)
}

// canonicalForm returns an effect in a form in which no identifier of the Go sources occurs: a code of
// one letter, and the wire form or else the values in a fixed order. Only this function has to
// follow a renaming of the types of effects.
func canonicalForm(effect step.Effect) (code byte, form string, err error) {
	formatStatus := func(status *requests.ControllerStatus) string {
		return fmt.Sprintf("%q %q %d %d %t %t;", string(status.ID), string(status.Incarnation), status.Shards, status.Machines, status.SupportsTransfers, status.Draining)
	}
	formatTransfer := func(record *storage.TransferRecord) string {
		return fmt.Sprintf("%q %q %q %q %q %q %d %d %d %d %d;",
			record.Name, string(record.Shard), string(record.Source), string(record.Target), string(record.Phase), record.Reason, record.MachineCount,
			int64(record.ProposedAt), int64(record.PreparedAt), int64(record.CommittedAt), int64(record.EndedAt))
	}
	switch concrete := effect.(type) {
	case step.Reply:
		return 'R', fmt.Sprintf("%d %d %d %s", concrete.RequestID, concrete.Status, concrete.RetryAfterSeconds, concrete.Body), nil
	case step.Commit:
		return 'C', fmt.Sprintf("%d %s", concrete.ID, protocol.Encode(concrete.Transaction)), nil
	case step.LoadRecords:
		return 'L', "", nil
	case step.Watch:
		return 'F', fmt.Sprint(uint64(concrete.AfterRevision)), nil
	case step.ReadRevision:
		return 'V', "", nil
	case step.GrantLease:
		return 'G', fmt.Sprint(int64(concrete.TTL)), nil
	case step.RenewLease:
		return 'E', string(protocol.Encode(concrete.LeaseID)), nil
	case step.ListMachineTypes:
		return 'A', "", nil
	case step.ProvisionMachines:
		return 'H', string(protocol.Encode(concrete.Request)), nil
	case step.TerminateMachines:
		return 'X', string(protocol.Encode(protocol.MachineList{Machines: concrete.Machines})), nil
	case step.ListInstances:
		return 'I', "", nil
	case step.SendCommands:
		return 'D', fmt.Sprintf("%q %q %s", concrete.Addr, string(concrete.Machine), concrete.Commands.Encode()), nil
	case step.ProbeAgent:
		return 'W', fmt.Sprintf("%q %q", concrete.Addr, string(concrete.Machine)), nil
	case step.SendPeerStatus:
		form, err := readAsProduction(concrete.Status.Wire())
		return 'P', string(form), err
	case requests.TransferReply:
		return 'M', fmt.Sprintf("%d %s %s", concrete.RequestID, formatRequestError(concrete.Err), formatTransfer(&concrete.Transfer)), nil
	case requests.DrainReply:
		return 'N', fmt.Sprintf("%d %s %s", concrete.RequestID, formatRequestError(concrete.Err), formatStatus(&concrete.Status)), nil
	case requests.ShardingStatusReply:
		form := fmt.Sprintf("%d %d %t\n", concrete.RequestID, uint64(concrete.Revision), concrete.Stale)
		for i := range concrete.Controllers {
			form += formatStatus(&concrete.Controllers[i])
		}
		form += "\n"
		for _, shard := range concrete.Shards {
			form += fmt.Sprintf("%q %q %d %d %d;", string(shard.ID), string(shard.Owner), uint64(shard.Epoch), shard.Machines, shard.Tasks)
		}
		form += "\n"
		for i := range concrete.Transfers {
			form += formatTransfer(&concrete.Transfers[i])
		}
		form += "\n"
		for _, planned := range concrete.PlannedTransfers {
			form += fmt.Sprintf("%q %q %q;", string(planned.Shard), string(planned.Source), string(planned.Target))
		}
		return 'S', form, nil
	default:
		return 0, "", fmt.Errorf("no canonical form of an effect %T", effect)
	}
}

// effectDigest is a digest of the effects of the cores of all controllers.
type effectDigest struct {
	hash         hash.Hash
	effectCount  int
	countsByCode map[byte]int // number of effects by the code of their canonical form
}

// digestEffects returns a digest of all effects of the world from now on, except log lines.
func (w *World) digestEffects(t *testing.T) *effectDigest {
	t.Helper()
	digest := &effectDigest{hash: sha256.New(), countsByCode: map[byte]int{}}
	w.OnEffect = func(at time.Duration, controller protocol.ControllerID, effect step.Effect) {
		if _, isLog := effect.(step.Log); isLog {
			return
		}
		code, form, err := canonicalForm(effect)
		if err != nil {
			t.Errorf("%v %s: %v", at, controller, err)
		}
		digest.effectCount++
		digest.countsByCode[code]++
		fmt.Fprintf(digest.hash, "%d %s %c %d %s\n", int64(at), string(controller), code, len(form), form)
	}
	return digest
}

// digestScenario is a scenario of TestEffectDigest.
type digestScenario struct {
	name             string
	newWorld         func(t *testing.T, seed uint64) *World
	schedule         func(t *testing.T, w *World) // schedules jobs and faults
	faultsDuration   time.Duration                // time from the start of the world to the end of the faults
	recoveryDuration time.Duration                // time between the end of the faults and the end of the scenario
}

// scheduleFault sets the flag of a fault after the given number of seconds, for duration seconds.
func (w *World) scheduleFault(flag *bool, from, duration float64) {
	w.setFlagsBetween(seconds(from), seconds(from+duration), flag)
}

// requestShardingStatusEvery lets an operator request the sharding status at a fixed interval, in
// seconds, from one controller after the other.
func (w *World) requestShardingStatusEvery(interval float64) {
	count := 0
	w.Every(seconds(interval), func() {
		count++
		controller := w.Controllers[count%len(w.Controllers)]
		controller.DeliverOperatorRequest(func(id step.RequestID) step.Input {
			return requests.ShardingStatusRequest{RequestID: id}
		}, func(step.Effect) {})
	})
}

// digestScenarios are the scenarios of TestEffectDigest. Their names, seeds and random draws stay as
// they are, because their digests are compared with those of earlier versions.
var digestScenarios = []digestScenario{
	{name: "crashes", newWorld: newMixedWorld, schedule: func(t *testing.T, w *World) {
		w.MessageLossRate = 0.02
		submitMixedJobs(w, 30)
		w.sendUnusualRequests(seconds(10), seconds(100))
		for i := 1; i < 7; i++ {
			w.Controllers[i%3].ScheduleRestart(seconds(10*float64(i)), seconds([]float64{0.2, 5}[i%2]))
		}
		for i, controller := range w.Controllers {
			controller.ScheduleRestart(seconds(85), seconds(4+float64(i)))
		}
	}, faultsDuration: seconds(110), recoveryDuration: seconds(60)},
	{name: "refused-and-outage", newWorld: newMixedWorld, schedule: func(t *testing.T, w *World) {
		submitMixedJobs(w, 24)
		w.submitLongJobs(8, "core", 60)
		for i, at := range []float64{25, 68} {
			w.scheduleFault(&w.Controllers[i].RefusedByStore, at, 14)
			w.After(seconds(at+0.2), func() { w.cancelRunningJobs(5) })
			w.scheduleFault(&w.Store.Unavailable, at+1, 34)
		}
	}, faultsDuration: seconds(110), recoveryDuration: seconds(60)},
	{name: "late-and-lost-transactions", newWorld: newMixedWorld, schedule: func(t *testing.T, w *World) {
		w.Config.ValueBytes = 1700
		for _, controller := range w.Controllers {
			controller.Start()
		}
		w.DelayedWriteRate, w.LostWriteReplyRate, w.DelayedCommandRate, w.MessageLossRate, w.MaxStoreDelay = 0.15, 0.15, 0.2, 0.03, seconds(0.4)
		submitMixedJobs(w, 24)
		w.submitLongJobs(6, "core", 40)
		for i := range 5 {
			w.Controllers[i%3].ScheduleRestart(seconds(20+15*float64(i)), seconds([]float64{0.3, 4}[i%2]))
			w.After(seconds(24+15*float64(i)), func() { w.cancelRunningJobs(2) })
		}
	}, faultsDuration: seconds(105), recoveryDuration: seconds(70)},
	{name: "deaf-mute-hanging-machines", newWorld: newMixedWorld, schedule: func(t *testing.T, w *World) {
		w.MessageLossRate = 0.01
		submitMixedJobs(w, 24)
		w.submitLongJobs(6, "core", 50)
		for i := range 5 {
			at, duration := 16+15*float64(i), seconds(3+6*float64(i))
			w.After(seconds(at), func() {
				for k, machine := range w.randomMachines(0.6) {
					flag := []*bool{&machine.CommandsLost, &machine.HeartbeatsLost, &machine.Partitioned}[k%3]
					*flag = true
					w.After(duration, func() { *flag = false })
				}
				w.cancelRunningJobs(1)
			})
			w.After(seconds(at+4), func() {
				for _, machine := range w.randomMachines(0.15) {
					machine.Hang(duration)
				}
			})
		}
		w.Controllers[1].ScheduleRestart(seconds(45), seconds(1))
	}, faultsDuration: seconds(110), recoveryDuration: seconds(60)},
	{name: "zone-cut", newWorld: newMixedWorld, schedule: func(t *testing.T, w *World) {
		submitMixedJobs(w, 24)
		w.submitLongJobs(10, "core", 50)
		for i := range 2 {
			controller, zone, at := w.Controllers[2-i], testZones[i], 20+45*float64(i)
			for _, flag := range []*bool{&controller.StoreUnreachable, &controller.PeersUnreachable, &controller.UsersUnreachable} {
				w.scheduleFault(flag, at, 38)
			}
			w.After(seconds(at), func() { w.PartitionedZones[zone] = controller })
			w.After(seconds(at+38), func() { delete(w.PartitionedZones, zone) })
			w.After(seconds(at+3), func() { w.cancelRunningJobs(3) })
			w.After(seconds(at+20), func() { w.cancelRunningJobs(2) })
		}
		w.Controllers[0].ScheduleRestart(seconds(30), seconds(0.4))
	}, faultsDuration: seconds(110), recoveryDuration: seconds(60)},
	{name: "cancelled-in-outage", newWorld: func(t *testing.T, seed uint64) *World {
		w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Config.IdleTimeoutFactor = 100
		for _, controller := range w.Controllers {
			controller.Start()
		}
		for i := range 14 {
			w.AddMachine("small", testZones[i%2], false, 0)
		}
		return w
	}, schedule: func(t *testing.T, w *World) {
		w.CancelAtEndRate = 0.5
		var ids []protocol.JobID
		for i := range 9 {
			job := newArray(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 4, 1, []float64{250, 250, 30}[i%3])
			ids = append(ids, job.ID)
			w.After(seconds(5+float64(i)), func() { w.Submit(job) })
			if i%3 < 2 {
				w.After(seconds(25.2+0.1*float64(i)), func() { w.Cancel(job.ID) })
			}
		}
		w.scheduleFault(&w.Controllers[1].RefusedByStore, 25, 14)
		w.scheduleFault(&w.Controllers[2].PeersUnreachable, 26, 20)
		w.scheduleFault(&w.Store.Unavailable, 29, 50)
		w.Controllers[1].ScheduleRestart(seconds(33), seconds(0.3))
		w.After(seconds(31), func() {
			for _, machine := range w.randomMachines(0.4) {
				machine.Hang(seconds(30))
			}
		})
		requestCount := 0
		w.Every(300*time.Millisecond, func() {
			requestCount++
			id, controller := ids[requestCount%len(ids)], w.Controllers[requestCount/len(ids)%3]
			switch {
			case w.Jobs[id] == nil:
			case requestCount%2 == 0:
				w.SendUserRequestTo(controller, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
			default:
				w.SendUserRequestTo(controller, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
			}
		})
	}, faultsDuration: seconds(90), recoveryDuration: seconds(80)},
	{name: "gangs-arrays-services-limits", newWorld: func(t *testing.T, seed uint64) *World {
		machineTypes := append(slices.Clone(testMachineTypes), testMachineTypes[0])
		machineTypes[2].Name, machineTypes[2].Accelerators = "gpu", 2
		w := NewWorld(seed, 3, machineTypes, testTeams())
		for i := range 8 {
			w.AddMachine("small", testZones[i%2], false, 0)
		}
		w.Config.Quotas["promised"] = step.Quota{GuaranteedCores: 12, MaxCores: 40}
		w.Config.Objectives = map[string]step.Objectives{"l": {
			StartWithin:     []time.Duration{seconds(5), seconds(20)},
			FinishWithin:    []time.Duration{seconds(60)},
			DeadlineFactors: []float64{1, 2},
		}}
		w.setMissingQuotas(60)
		return w
	}, schedule: func(t *testing.T, w *World) {
		submitMixedJobs(w, 30)
		deadlineSeconds := 40.0
		for i := range 18 {
			id := protocol.JobID(fmt.Sprintf("j-7%03d", i))
			job := newArray(id, "l", []protocol.Priority{"high", "low", "standard", "critical"}[i%4], 3+i%5, 2, 12)
			switch i % 6 {
			case 0:
				job = newService(id, 2+i%4)
				job.Team, job.SpreadZones = []string{"tight", "core"}[i%2], i%4 == 0
			case 1:
				job = newGang(id, "l", "high", 2+i%3, 3, 10)
				job.Team = "promised"
			case 2:
				job.Team, job.DeadlineSeconds = "promised", &deadlineSeconds
			case 3:
				job.Accelerators, job.Cores = 1, 0.5
			case 4:
				job.Class = []string{failingClass, exitingClass}[i/6%2]
			}
			w.After(seconds(4+4*float64(i)), func() { w.Submit(job) })
		}
		w.scheduleFault(&w.CloudOutOfCapacity, 30, 25)
		w.scheduleFault(&w.CloudUnreachable, 70, 12)
		for i := range 6 {
			w.After(seconds(20+12*float64(i)), func() {
				for _, machine := range w.randomMachines(0.1) {
					w.TerminateMachine(machine.ID)
				}
			})
		}
		w.Controllers[2].ScheduleRestart(seconds(50), seconds(2))
		w.After(seconds(90), func() { w.cancelRunningJobs(6) })
	}, faultsDuration: seconds(110), recoveryDuration: seconds(60)},
	{name: "moves-with-failures", newWorld: newTransferWorld, schedule: func(t *testing.T, w *World) {
		w.Config.RebalanceDemandWeight = 0.5
		for _, controller := range w.Controllers {
			controller.Start()
		}
		submitMixedJobs(w, 40)
		w.requestRandomTransfers(1200*time.Millisecond, seconds(90))
		w.requestShardingStatusEvery(5)
		proposedCount := 0
		w.onTransferPhase(storage.TransferProposed, func(record storage.TransferRecord) {
			if proposedCount++; proposedCount%5 == 0 {
				w.Controllers[proposedCount%3].DeliverOperatorRequest(func(id step.RequestID) step.Input {
					return requests.TransferRequest{RequestID: id, Name: record.Name, Abort: true}
				}, func(step.Effect) {})
			}
			if proposedCount%9 == 0 {
				w.controllerOf(record.Source).restartIfAlive(3 * time.Second)
			}
		})
		preparedCount := 0
		w.onTransferPhase(storage.TransferPrepared, func(record storage.TransferRecord) {
			switch preparedCount++; preparedCount % 24 {
			case 4:
				w.controllerOf(record.Source).restartIfAlive(200 * time.Millisecond)
			case 9:
				w.controllerOf(record.Target).restartIfAlive(4 * time.Second)
			case 13:
				w.controllerOf(record.Source).Pause(12 * time.Second)
			case 18:
				w.Store.Unavailable = true
				w.After(9*time.Second, func() { w.Store.Unavailable = false })
			case 23:
				w.cancelRunningJobs(3)
			}
		})
		committedCount := 0
		w.onTransferPhase(storage.TransferCommitted, func(record storage.TransferRecord) {
			switch committedCount++; committedCount % 16 {
			case 6:
				w.controllerOf(record.Target).restartIfAlive(12 * time.Second)
			case 14:
				w.controllerOf(record.Target).Pause(10 * time.Second)
			}
		})
	}, faultsDuration: seconds(90), recoveryDuration: seconds(80)},
	{name: "moves-late-writes", newWorld: newTransferWorld, schedule: func(t *testing.T, w *World) {
		w.DelayedWriteRate, w.LostWriteReplyRate, w.DuplicateHeartbeatRate = 0.05, 0.1, 0.1
		submitMixedJobs(w, 30)
		w.requestRandomTransfers(1500*time.Millisecond, seconds(90))
		w.requestShardingStatusEvery(9)
		w.scheduleFault(&w.Controllers[0].PeersUnreachable, 20, 15)
		w.scheduleFault(&w.Controllers[1].StoreUnreachable, 40, 12)
		w.scheduleFault(&w.Controllers[2].AgentsUnreachable, 60, 20)
	}, faultsDuration: seconds(90), recoveryDuration: seconds(80)},
	{name: "drains", newWorld: newTransferWorld, schedule: func(t *testing.T, w *World) {
		submitMixedJobs(w, 24)
		w.requestShardingStatusEvery(4)
		scheduleDrain := func(at float64, receiver int, controller protocol.ControllerID, isDraining bool) {
			w.After(seconds(at), func() {
				w.Controllers[receiver].DeliverOperatorRequest(func(id step.RequestID) step.Input {
					return requests.DrainRequest{RequestID: id, Controller: controller, Drain: isDraining}
				}, func(step.Effect) {})
			})
		}
		scheduleDrain(12, 1, "stall-0", true)
		scheduleDrain(14, 1, "stall-0", true)
		w.Controllers[0].ScheduleRestart(seconds(35), seconds(1))
		scheduleDrain(45, 1, "stall-1", true)
		scheduleDrain(46, 1, "stall-2", true)
		scheduleDrain(47, 0, "stall-9", true)
		w.scheduleFault(&w.Store.Unavailable, 50, 4)
		scheduleDrain(52, 2, "stall-0", false)
		scheduleDrain(65, 2, "stall-0", false)
		scheduleDrain(80, 2, "stall-1", false)
		w.Controllers[2].ScheduleRestart(seconds(85), seconds(6))
	}, faultsDuration: seconds(100), recoveryDuration: seconds(60)},
	{name: "upgrade-with-announced-limits", newWorld: newUpgradeWorld, schedule: func(t *testing.T, w *World) {
		w.MessageLossRate, w.DuplicateHeartbeatRate = 0.01, 0.1
		submitMixedJobs(w, 30)
		w.After(seconds(2), func() { w.Submit(newArray("j-700000", "l", "standard", 600, 1, 5)) })
		for i, controller := range w.Controllers {
			controller.Upgrade(seconds(20+8*float64(i)), seconds(3))
		}
		w.After(seconds(55), w.tightenLimits)
		for i := range 6 {
			job := newService(protocol.JobID(fmt.Sprintf("j-8%05d", i)), 2+i%4)
			job.SpreadZones = i%2 == 0
			w.After(seconds(57+2*float64(i)), func() { w.Submit(job) })
			w.After(seconds(24+6*float64(i)), func() {
				for _, machine := range w.randomMachines(0.03) {
					w.TerminateMachine(machine.ID)
				}
			})
		}
		w.scheduleFault(&w.Store.Unavailable, 60, 7)
		w.Controllers[0].ScheduleRestart(seconds(69), seconds(0.3))
		w.After(seconds(75), func() { w.cancelRunningJobs(3) })
	}, faultsDuration: seconds(110), recoveryDuration: seconds(50)},
	{name: "upgrade-and-moves", newWorld: newTransferWorld, schedule: func(t *testing.T, w *World) {
		w.Config.AnnouncedLimits = &step.WriteLimits{WritesPerSecond: 28, TransactionOps: 6, ValueBytes: 2048}
		for _, controller := range w.Controllers {
			controller.RunsProductionVersion = true
			controller.Start()
		}
		submitMixedJobs(w, 30)
		w.requestRandomTransfers(1500*time.Millisecond, seconds(100))
		w.requestShardingStatusEvery(9)
		for i, controller := range w.Controllers {
			controller.Upgrade(seconds(20+10*float64(i)), seconds(2))
		}
		w.After(seconds(60), func() { w.Store.MaxValueBytes, w.Store.MaxTransactionOperations = 2048, 6 })
	}, faultsDuration: seconds(100), recoveryDuration: seconds(70)},
	{name: "lost-machines-late-copies", newWorld: newMixedWorld, schedule: func(t *testing.T, w *World) {
		w.MessageLossRate, w.DuplicateHeartbeatRate = 0.01, 0.4
		submitMixedJobs(w, 30)
		w.After(seconds(6), func() { w.Submit(newService("j-800000", 4)) })
		for i := range 10 {
			w.After(seconds(16+8*float64(i)), func() {
				for k, machine := range w.randomMachines(0.2) {
					switch (i + k) % 3 {
					case 0:
						w.TerminateMachine(machine.ID)
					case 1:
						machine.Reboot()
					case 2:
						w.PreemptMachine(machine.ID, seconds(9))
					}
				}
			})
		}
		for i := range 6 {
			w.Controllers[i%3].ScheduleRestart(seconds(24+13*float64(i)), seconds(0.1+0.7*float64(i)))
		}
	}, faultsDuration: seconds(110), recoveryDuration: seconds(60)},
	{name: "spot-prices", newWorld: func(t *testing.T, seed uint64) *World {
		return NewWorld(seed, 3, slices.Clone(testMachineTypes), testTeams())
	}, schedule: func(t *testing.T, w *World) {
		for i := range 16 {
			job := newArray(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 8, 4, 10)
			job.AllowSpot, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = true, 5, 1
			w.After(seconds(2+6*float64(i)), func() { w.Submit(job) })
		}
		for i, priceFraction := range []float64{0.9, 0.3, 0.95, 0.1, 0.6} {
			w.After(seconds(25+18*float64(i)), func() {
				changedTypes := slices.Clone(w.MachineTypes) // a copy, so that earlier replies keep their prices
				for k := range changedTypes {
					changedTypes[k].SpotPrice = priceFraction * changedTypes[k].OnDemandPrice * (1 + 0.1*w.Rand.Float64())
				}
				w.MachineTypes = changedTypes
			})
		}
		w.After(seconds(50), func() {
			for _, machine := range w.randomMachines(0.5) {
				if machine.Spot {
					w.PreemptMachine(machine.ID, seconds(9))
				}
			}
		})
		w.scheduleFault(&w.CloudUnreachable, 70, 15)
		w.Controllers[1].ScheduleRestart(seconds(60), seconds(2))
	}, faultsDuration: seconds(120), recoveryDuration: seconds(60)},
	{name: "alone-and-frozen", newWorld: newMixedWorld, schedule: func(t *testing.T, w *World) {
		w.DuplicateHeartbeatRate = 0.1
		submitMixedJobs(w, 24)
		w.submitLongJobs(8, "tight", 30)
		for i, controller := range w.Controllers {
			at := 18 + 28*float64(i)
			for _, flag := range [][]*bool{{&controller.StoreUnreachable, &controller.PeersUnreachable}, {&controller.AgentsUnreachable}, {&controller.UsersUnreachable, &controller.PeersUnreachable}}[i] {
				w.scheduleFault(flag, at, 22)
			}
			other := w.Controllers[(i+1)%3]
			w.After(seconds(at+8), func() { other.Pause(seconds([]float64{4, 9, 22}[i])) })
			w.After(seconds(at+2), func() { w.cancelRunningJobs(3) })
		}
	}, faultsDuration: seconds(110), recoveryDuration: seconds(60)},
	{name: "large-fleet", newWorld: func(t *testing.T, seed uint64) *World {
		w := newBusyLargeWorld(1000)
		w.Rand = rand.New(rand.NewPCG(seed, 11))
		return w
	}, schedule: func(t *testing.T, w *World) {
		w.After(seconds(20), func() { w.Controllers[0].AgentsUnreachable = true })
		w.After(seconds(25), func() { w.cancelRunningJobs(4) })
	}, faultsDuration: seconds(40), recoveryDuration: seconds(10)},
}

// TestEffectDigest prints a line for each scenario and seed, with a digest of everything that leaves
// the controllers' cores, in order, with the time and the controller. The test compares two versions
// of the sources, one of them renamed or rearranged, and checks nothing in one version alone, so it
// is skipped unless DIGEST is set:
//
//	DIGEST=1 go test -count=1 -v -run TestEffectDigest ./internal/simulation | grep ' seed='
//
// Log lines are left out. Any other difference in a byte, a time or the order of effects changes the
// digest, and a different message makes the rest of the scenario differ too.
func TestEffectDigest(t *testing.T) {
	if os.Getenv("DIGEST") == "" {
		t.Skip("DIGEST is not set: the test only compares two versions of the sources")
	}
	var mu sync.Mutex
	var lines []string
	countsByCode := map[byte]int{}
	t.Cleanup(func() {
		slices.Sort(lines)
		for _, line := range lines {
			fmt.Println(line)
		}
		var codes []byte
		for code := range countsByCode {
			codes = append(codes, code)
		}
		slices.Sort(codes)
		for _, code := range codes {
			t.Logf("%c %d", code, countsByCode[code])
		}
	})
	for _, scenario := range digestScenarios {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/%d", scenario.name, seed), func(t *testing.T) {
				t.Parallel()
				w := scenario.newWorld(t, seed)
				digest := w.digestEffects(t)
				scenario.schedule(t, w)
				w.Advance(scenario.faultsDuration)
				w.endFaults()
				w.CancelAtEndRate, w.DelayedCommandRate, w.MaxStoreDelay = 0, 0, 0
				w.Advance(scenario.recoveryDuration)
				mu.Lock()
				defer mu.Unlock()
				for code, count := range digest.countsByCode {
					countsByCode[code] += count
				}
				lines = append(lines, fmt.Sprintf("%s seed=%d %x effects=%d", scenario.name, seed, digest.hash.Sum(nil)[:8], digest.effectCount))
				t.Logf("%d violations, of which the first is %v", len(w.Rules.Violations), w.Rules.Violations[:min(1, len(w.Rules.Violations))])
			})
		}
	}
}
