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

// productionPeerMessage is what controllers tell each other, with the names by which gob finds
// the fields in the version in production, and with plain types. A field that is encoded under
// another name is not read by that version; it is empty here.
type productionPeerMessage struct {
	Member  string
	StateOK bool
	Run     string
	Fit     bool
	Seen    []productionSeen
	Rev     uint64
	Intents []productionIntent
	Acks    []string
}

type productionSeen struct {
	Machine string
	Session uint64
	Tally   uint64
}

type productionIntent struct {
	Job string
	Rev uint64
}

// asProductionReads is a message between controllers as the version in production reads it.
func asProductionReads(message any) ([]byte, error) {
	stream, err := transport.AppendFrame(nil, message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	frame, rest, err := transport.SplitFrame(stream)
	if err != nil || len(rest) > 0 {
		return nil, fmt.Errorf("split: %v, %d bytes left", err, len(rest))
	}
	var m productionPeerMessage
	if err := transport.DecodeFrame(frame, &m); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return json.Marshal(m)
}

// errorText is the text of an operator's error, and whether the request may be repeated.
func errorText(err error) string {
	var refused *requests.RequestError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &refused):
		return fmt.Sprintf("%q transient=%t", refused.Reason, refused.Transient)
	}
	return fmt.Sprintf("%q", err)
}

// canonical is an effect in a form in which no identifier of the Go sources occurs: a code of one
// letter and the wire form, or else the values in a fixed order. This is the one place that
// follows a renaming of the types of effects.
func canonical(e step.Effect) (code byte, form string, err error) {
	status := func(s *requests.ControllerStatus) string {
		return fmt.Sprintf("%q %q %d %d %t %t;", string(s.ID), string(s.Incarnation), s.Shards, s.Machines, s.SupportsTransfers, s.Draining)
	}
	transfer := func(r *storage.TransferRecord) string {
		return fmt.Sprintf("%q %q %q %q %q %q %d %d %d %d %d;",
			r.Name, string(r.Shard), string(r.Source), string(r.Target), string(r.Phase), r.Reason, r.MachineCount,
			int64(r.ProposedAt), int64(r.PreparedAt), int64(r.CommittedAt), int64(r.EndedAt))
	}
	switch v := e.(type) {
	case step.Reply:
		return 'R', fmt.Sprintf("%d %d %d %s", v.RequestID, v.Status, v.RetryAfterSeconds, v.Body), nil
	case step.Commit:
		return 'C', fmt.Sprintf("%d %s", v.ID, protocol.Encode(v.Transaction)), nil
	case step.LoadRecords:
		return 'L', "", nil
	case step.Watch:
		return 'F', fmt.Sprint(uint64(v.AfterRevision)), nil
	case step.ReadRevision:
		return 'V', "", nil
	case step.GrantLease:
		return 'G', fmt.Sprint(int64(v.TTL)), nil
	case step.RenewLease:
		return 'E', string(protocol.Encode(v.LeaseID)), nil
	case step.ListMachineTypes:
		return 'A', "", nil
	case step.ProvisionMachines:
		return 'H', string(protocol.Encode(v.Request)), nil
	case step.TerminateMachines:
		return 'X', string(protocol.Encode(protocol.MachineList{Machines: v.Machines})), nil
	case step.ListInstances:
		return 'I', "", nil
	case step.SendCommands:
		return 'D', fmt.Sprintf("%q %q %s", v.Addr, string(v.Machine), v.Commands.Encode()), nil
	case step.ProbeAgent:
		return 'W', fmt.Sprintf("%q %q", v.Addr, string(v.Machine)), nil
	case step.SendPeerStatus:
		form, err := asProductionReads(v.Status.Wire())
		return 'P', string(form), err
	case requests.TransferReply:
		return 'M', fmt.Sprintf("%d %s %s", v.RequestID, errorText(v.Err), transfer(&v.Transfer)), nil
	case requests.DrainReply:
		return 'N', fmt.Sprintf("%d %s %s", v.RequestID, errorText(v.Err), status(&v.Status)), nil
	case requests.ShardingStatusReply:
		form := fmt.Sprintf("%d %d %t\n", v.RequestID, uint64(v.Revision), v.Stale)
		for i := range v.Controllers {
			form += status(&v.Controllers[i])
		}
		form += "\n"
		for _, shard := range v.Shards {
			form += fmt.Sprintf("%q %q %d %d %d;", string(shard.ID), string(shard.Owner), uint64(shard.Epoch), shard.Machines, shard.Tasks)
		}
		form += "\n"
		for i := range v.Transfers {
			form += transfer(&v.Transfers[i])
		}
		form += "\n"
		for _, planned := range v.PlannedTransfers {
			form += fmt.Sprintf("%q %q %q;", string(planned.Shard), string(planned.Source), string(planned.Target))
		}
		return 'S', form, nil
	default:
		return 0, "", fmt.Errorf("no canonical form of an effect %T", e)
	}
}

// effectDigest is a digest of the effects of all cores of a world.
type effectDigest struct {
	sum     hash.Hash
	effects int
	kinds   map[byte]int // by the code of their canonical form
}

// digestEffects lets a world's effects be digested from now on, but for log lines.
func (w *World) digestEffects(t *testing.T) *effectDigest {
	t.Helper()
	digest := &effectDigest{sum: sha256.New(), kinds: map[byte]int{}}
	w.OnEffect = func(at time.Duration, member protocol.ControllerID, e step.Effect) {
		if _, isLog := e.(step.Log); isLog {
			return
		}
		code, form, err := canonical(e)
		if err != nil {
			t.Errorf("%v %s: %v", at, member, err)
		}
		digest.effects++
		digest.kinds[code]++
		fmt.Fprintf(digest.sum, "%d %s %c %d %s\n", int64(at), string(member), code, len(form), form)
	}
	return digest
}

// digestDay is a scenario of TestEffectDigest.
type digestDay struct {
	name  string
	world func(t *testing.T, seed uint64) *World
	play  func(t *testing.T, w *World) // plans the day; faults are over by busy
	busy  time.Duration
	calm  time.Duration
}

// holds sets a flag from a time on, for a while; both in seconds.
func (w *World) holds(flag *bool, from, duration float64) {
	w.setFlagsBetween(seconds(from), seconds(from+duration), flag)
}

// requestShardingStatus lets an operator ask for the sharding status again and again, at one
// controller after the other.
func (w *World) requestShardingStatus(interval float64) {
	count := 0
	w.Every(seconds(interval), func() {
		count++
		controller := w.Controllers[count%len(w.Controllers)]
		controller.DeliverOperatorRequest(func(id step.RequestID) step.Input {
			return requests.ShardingStatusRequest{RequestID: id}
		}, func(step.Effect) {})
	})
}

// digestDays are the days of TestEffectDigest. Their names, seeds and draws stay as they are: the
// digests of earlier versions are compared with them.
var digestDays = []digestDay{
	{name: "crashes", world: newMixedWorld, play: func(t *testing.T, w *World) {
		w.MessageLossRate = 0.02
		submitMixedJobs(w, 30)
		w.sendUnusualRequests(seconds(10), seconds(100))
		for i := 1; i < 7; i++ {
			w.Controllers[i%3].ScheduleRestart(seconds(10*float64(i)), seconds([]float64{0.2, 5}[i%2]))
		}
		for i, n := range w.Controllers {
			n.ScheduleRestart(seconds(85), seconds(4+float64(i)))
		}
	}, busy: seconds(110), calm: seconds(60)},
	{name: "refused-and-outage", world: newMixedWorld, play: func(t *testing.T, w *World) {
		submitMixedJobs(w, 24)
		w.submitLongJobs(8, "core", 60)
		for i, at := range []float64{25, 68} {
			w.holds(&w.Controllers[i].RefusedByStore, at, 14)
			w.After(seconds(at+0.2), func() { w.cancelRunningJobs(5) })
			w.holds(&w.Store.Unavailable, at+1, 34)
		}
	}, busy: seconds(110), calm: seconds(60)},
	{name: "late-and-lost-transactions", world: newMixedWorld, play: func(t *testing.T, w *World) {
		w.Config.ValueBytes = 1700
		for _, n := range w.Controllers {
			n.Start()
		}
		w.DelayedWriteRate, w.LostWriteReplyRate, w.DelayedCommandRate, w.MessageLossRate, w.MaxStoreDelay = 0.15, 0.15, 0.2, 0.03, seconds(0.4)
		submitMixedJobs(w, 24)
		w.submitLongJobs(6, "core", 40)
		for i := range 5 {
			w.Controllers[i%3].ScheduleRestart(seconds(20+15*float64(i)), seconds([]float64{0.3, 4}[i%2]))
			w.After(seconds(24+15*float64(i)), func() { w.cancelRunningJobs(2) })
		}
	}, busy: seconds(105), calm: seconds(70)},
	{name: "deaf-mute-hanging-machines", world: newMixedWorld, play: func(t *testing.T, w *World) {
		w.MessageLossRate = 0.01
		submitMixedJobs(w, 24)
		w.submitLongJobs(6, "core", 50)
		for i := range 5 {
			at, lasts := 16+15*float64(i), seconds(3+6*float64(i))
			w.After(seconds(at), func() {
				for k, m := range w.randomMachines(0.6) {
					flag := []*bool{&m.CommandsLost, &m.HeartbeatsLost, &m.Partitioned}[k%3]
					*flag = true
					w.After(lasts, func() { *flag = false })
				}
				w.cancelRunningJobs(1)
			})
			w.After(seconds(at+4), func() {
				for _, m := range w.randomMachines(0.15) {
					m.Hang(lasts)
				}
			})
		}
		w.Controllers[1].ScheduleRestart(seconds(45), seconds(1))
	}, busy: seconds(110), calm: seconds(60)},
	{name: "zone-cut", world: newMixedWorld, play: func(t *testing.T, w *World) {
		submitMixedJobs(w, 24)
		w.submitLongJobs(10, "core", 50)
		for i := range 2 {
			n, z, at := w.Controllers[2-i], testZones[i], 20+45*float64(i)
			for _, flag := range []*bool{&n.StoreUnreachable, &n.PeersUnreachable, &n.UsersUnreachable} {
				w.holds(flag, at, 38)
			}
			w.After(seconds(at), func() { w.PartitionedZones[z] = n })
			w.After(seconds(at+38), func() { delete(w.PartitionedZones, z) })
			w.After(seconds(at+3), func() { w.cancelRunningJobs(3) })
			w.After(seconds(at+20), func() { w.cancelRunningJobs(2) })
		}
		w.Controllers[0].ScheduleRestart(seconds(30), seconds(0.4))
	}, busy: seconds(110), calm: seconds(60)},
	{name: "cancelled-in-outage", world: func(t *testing.T, seed uint64) *World {
		w := NewWorld(seed, 3, testMachineTypes[:1], testTeams())
		w.CloudOutOfCapacity = true
		w.Config.IdleTimeoutFactor = 100
		for _, n := range w.Controllers {
			n.Start()
		}
		for i := range 14 {
			w.AddMachine("small", testZones[i%2], false, 0)
		}
		return w
	}, play: func(t *testing.T, w *World) {
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
		w.holds(&w.Controllers[1].RefusedByStore, 25, 14)
		w.holds(&w.Controllers[2].PeersUnreachable, 26, 20)
		w.holds(&w.Store.Unavailable, 29, 50)
		w.Controllers[1].ScheduleRestart(seconds(33), seconds(0.3))
		w.After(seconds(31), func() {
			for _, m := range w.randomMachines(0.4) {
				m.Hang(seconds(30))
			}
		})
		k := 0
		w.Every(300*time.Millisecond, func() {
			k++
			id, n := ids[k%len(ids)], w.Controllers[k/len(ids)%3]
			switch {
			case w.Jobs[id] == nil:
			case k%2 == 0:
				w.SendUserRequestTo(n, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
			default:
				w.SendUserRequestTo(n, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
			}
		})
	}, busy: seconds(90), calm: seconds(80)},
	{name: "gangs-arrays-services-limits", world: func(t *testing.T, seed uint64) *World {
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
	}, play: func(t *testing.T, w *World) {
		submitMixedJobs(w, 30)
		due := 40.0
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
				job.Team, job.DeadlineSeconds = "promised", &due
			case 3:
				job.Accelerators, job.Cores = 1, 0.5
			case 4:
				job.Class = []string{failingClass, exitingClass}[i/6%2]
			}
			w.After(seconds(4+4*float64(i)), func() { w.Submit(job) })
		}
		w.holds(&w.CloudOutOfCapacity, 30, 25)
		w.holds(&w.CloudUnreachable, 70, 12)
		for i := range 6 {
			w.After(seconds(20+12*float64(i)), func() {
				for _, m := range w.randomMachines(0.1) {
					w.TerminateMachine(m.ID)
				}
			})
		}
		w.Controllers[2].ScheduleRestart(seconds(50), seconds(2))
		w.After(seconds(90), func() { w.cancelRunningJobs(6) })
	}, busy: seconds(110), calm: seconds(60)},
	{name: "moves-with-failures", world: newTransferWorld, play: func(t *testing.T, w *World) {
		w.Config.RebalanceDemandWeight = 0.5
		for _, n := range w.Controllers {
			n.Start()
		}
		submitMixedJobs(w, 40)
		w.requestRandomTransfers(1200*time.Millisecond, seconds(90))
		w.requestShardingStatus(5)
		proposed := 0
		w.onTransferPhase(storage.TransferProposed, func(r storage.TransferRecord) {
			if proposed++; proposed%5 == 0 {
				w.Controllers[proposed%3].DeliverOperatorRequest(func(id step.RequestID) step.Input {
					return requests.TransferRequest{RequestID: id, Name: r.Name, Abort: true}
				}, func(step.Effect) {})
			}
			if proposed%9 == 0 {
				w.controllerOf(r.Source).restartIfAlive(3 * time.Second)
			}
		})
		prepared := 0
		w.onTransferPhase(storage.TransferPrepared, func(r storage.TransferRecord) {
			switch prepared++; prepared % 24 {
			case 4:
				w.controllerOf(r.Source).restartIfAlive(200 * time.Millisecond)
			case 9:
				w.controllerOf(r.Target).restartIfAlive(4 * time.Second)
			case 13:
				w.controllerOf(r.Source).Pause(12 * time.Second)
			case 18:
				w.Store.Unavailable = true
				w.After(9*time.Second, func() { w.Store.Unavailable = false })
			case 23:
				w.cancelRunningJobs(3)
			}
		})
		committed := 0
		w.onTransferPhase(storage.TransferCommitted, func(r storage.TransferRecord) {
			switch committed++; committed % 16 {
			case 6:
				w.controllerOf(r.Target).restartIfAlive(12 * time.Second)
			case 14:
				w.controllerOf(r.Target).Pause(10 * time.Second)
			}
		})
	}, busy: seconds(90), calm: seconds(80)},
	{name: "moves-late-writes", world: newTransferWorld, play: func(t *testing.T, w *World) {
		w.DelayedWriteRate, w.LostWriteReplyRate, w.DuplicateHeartbeatRate = 0.05, 0.1, 0.1
		submitMixedJobs(w, 30)
		w.requestRandomTransfers(1500*time.Millisecond, seconds(90))
		w.requestShardingStatus(9)
		w.holds(&w.Controllers[0].PeersUnreachable, 20, 15)
		w.holds(&w.Controllers[1].StoreUnreachable, 40, 12)
		w.holds(&w.Controllers[2].AgentsUnreachable, 60, 20)
	}, busy: seconds(90), calm: seconds(80)},
	{name: "drains", world: newTransferWorld, play: func(t *testing.T, w *World) {
		submitMixedJobs(w, 24)
		w.requestShardingStatus(4)
		drain := func(at float64, asked int, member protocol.ControllerID, on bool) {
			w.After(seconds(at), func() {
				w.Controllers[asked].DeliverOperatorRequest(func(id step.RequestID) step.Input {
					return requests.DrainRequest{RequestID: id, Controller: member, Drain: on}
				}, func(step.Effect) {})
			})
		}
		drain(12, 1, "stall-0", true)
		drain(14, 1, "stall-0", true)
		w.Controllers[0].ScheduleRestart(seconds(35), seconds(1))
		drain(45, 1, "stall-1", true)
		drain(46, 1, "stall-2", true)
		drain(47, 0, "stall-9", true)
		w.holds(&w.Store.Unavailable, 50, 4)
		drain(52, 2, "stall-0", false)
		drain(65, 2, "stall-0", false)
		drain(80, 2, "stall-1", false)
		w.Controllers[2].ScheduleRestart(seconds(85), seconds(6))
	}, busy: seconds(100), calm: seconds(60)},
	{name: "upgrade-with-announced-limits", world: newUpgradeWorld, play: func(t *testing.T, w *World) {
		w.MessageLossRate, w.DuplicateHeartbeatRate = 0.01, 0.1
		submitMixedJobs(w, 30)
		w.After(seconds(2), func() { w.Submit(newArray("j-700000", "l", "standard", 600, 1, 5)) })
		for i, n := range w.Controllers {
			n.Upgrade(seconds(20+8*float64(i)), seconds(3))
		}
		w.After(seconds(55), w.tightenLimits)
		for i := range 6 {
			job := newService(protocol.JobID(fmt.Sprintf("j-8%05d", i)), 2+i%4)
			job.SpreadZones = i%2 == 0
			w.After(seconds(57+2*float64(i)), func() { w.Submit(job) })
			w.After(seconds(24+6*float64(i)), func() {
				for _, m := range w.randomMachines(0.03) {
					w.TerminateMachine(m.ID)
				}
			})
		}
		w.holds(&w.Store.Unavailable, 60, 7)
		w.Controllers[0].ScheduleRestart(seconds(69), seconds(0.3))
		w.After(seconds(75), func() { w.cancelRunningJobs(3) })
	}, busy: seconds(110), calm: seconds(50)},
	{name: "upgrade-and-moves", world: newTransferWorld, play: func(t *testing.T, w *World) {
		w.Config.AnnouncedLimits = &step.WriteLimits{WritesPerSecond: 28, TransactionOps: 6, ValueBytes: 2048}
		for _, n := range w.Controllers {
			n.RunsProductionVersion = true
			n.Start()
		}
		submitMixedJobs(w, 30)
		w.requestRandomTransfers(1500*time.Millisecond, seconds(100))
		w.requestShardingStatus(9)
		for i, n := range w.Controllers {
			n.Upgrade(seconds(20+10*float64(i)), seconds(2))
		}
		w.After(seconds(60), func() { w.Store.MaxValueBytes, w.Store.MaxTransactionOperations = 2048, 6 })
	}, busy: seconds(100), calm: seconds(70)},
	{name: "lost-machines-late-copies", world: newMixedWorld, play: func(t *testing.T, w *World) {
		w.MessageLossRate, w.DuplicateHeartbeatRate = 0.01, 0.4
		submitMixedJobs(w, 30)
		w.After(seconds(6), func() { w.Submit(newService("j-800000", 4)) })
		for i := range 10 {
			w.After(seconds(16+8*float64(i)), func() {
				for k, m := range w.randomMachines(0.2) {
					switch (i + k) % 3 {
					case 0:
						w.TerminateMachine(m.ID)
					case 1:
						m.Reboot()
					case 2:
						w.PreemptMachine(m.ID, seconds(9))
					}
				}
			})
		}
		for i := range 6 {
			w.Controllers[i%3].ScheduleRestart(seconds(24+13*float64(i)), seconds(0.1+0.7*float64(i)))
		}
	}, busy: seconds(110), calm: seconds(60)},
	{name: "spot-prices", world: func(t *testing.T, seed uint64) *World {
		return NewWorld(seed, 3, slices.Clone(testMachineTypes), testTeams())
	}, play: func(t *testing.T, w *World) {
		for i := range 16 {
			job := newArray(protocol.JobID(fmt.Sprintf("j-%d", i)), "l", "standard", 8, 4, 10)
			job.AllowSpot, job.CheckpointIntervalSeconds, job.CheckpointSaveSeconds = true, 5, 1
			w.After(seconds(2+6*float64(i)), func() { w.Submit(job) })
		}
		for i, part := range []float64{0.9, 0.3, 0.95, 0.1, 0.6} {
			w.After(seconds(25+18*float64(i)), func() {
				dearer := slices.Clone(w.MachineTypes) // earlier replies keep their prices
				for k := range dearer {
					dearer[k].SpotPrice = part * dearer[k].OnDemandPrice * (1 + 0.1*w.Rand.Float64())
				}
				w.MachineTypes = dearer
			})
		}
		w.After(seconds(50), func() {
			for _, m := range w.randomMachines(0.5) {
				if m.Spot {
					w.PreemptMachine(m.ID, seconds(9))
				}
			}
		})
		w.holds(&w.CloudUnreachable, 70, 15)
		w.Controllers[1].ScheduleRestart(seconds(60), seconds(2))
	}, busy: seconds(120), calm: seconds(60)},
	{name: "alone-and-frozen", world: newMixedWorld, play: func(t *testing.T, w *World) {
		w.DuplicateHeartbeatRate = 0.1
		submitMixedJobs(w, 24)
		w.submitLongJobs(8, "tight", 30)
		for i, n := range w.Controllers {
			at := 18 + 28*float64(i)
			for _, flag := range [][]*bool{{&n.StoreUnreachable, &n.PeersUnreachable}, {&n.AgentsUnreachable}, {&n.UsersUnreachable, &n.PeersUnreachable}}[i] {
				w.holds(flag, at, 22)
			}
			o := w.Controllers[(i+1)%3]
			w.After(seconds(at+8), func() { o.Pause(seconds([]float64{4, 9, 22}[i])) })
			w.After(seconds(at+2), func() { w.cancelRunningJobs(3) })
		}
	}, busy: seconds(110), calm: seconds(60)},
	{name: "large-fleet", world: func(t *testing.T, seed uint64) *World {
		w := newBusyLargeWorld(1000)
		w.Rand = rand.New(rand.NewPCG(seed, 11))
		return w
	}, play: func(t *testing.T, w *World) {
		w.After(seconds(20), func() { w.Controllers[0].AgentsUnreachable = true })
		w.After(seconds(25), func() { w.cancelRunningJobs(4) })
	}, busy: seconds(40), calm: seconds(10)},
}

// TestEffectDigest prints a line for each day and seed: a digest of everything that leaves the
// cores, in order, with its time and controller. It is for the comparison of two versions of the
// sources, one of them renamed or arranged anew, and has nothing to say of one version alone; so
// it is skipped unless DIGEST is set:
//
//	DIGEST=1 go test -count=1 -v -run TestEffectDigest ./internal/simulation | grep ' seed='
//
// Log lines are left out. Whatever else differs in a byte, an instant or its order changes the
// digest, and a different message leads to another day from there on.
func TestEffectDigest(t *testing.T) {
	if os.Getenv("DIGEST") == "" {
		t.Skip("DIGEST is not set: this is for comparing two versions of the sources")
	}
	var mu sync.Mutex
	var lines []string
	kinds := map[byte]int{}
	t.Cleanup(func() {
		slices.Sort(lines)
		for _, line := range lines {
			fmt.Println(line)
		}
		var codes []byte
		for code := range kinds {
			codes = append(codes, code)
		}
		slices.Sort(codes)
		for _, code := range codes {
			t.Logf("%c %d", code, kinds[code])
		}
	})
	for _, day := range digestDays {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/%d", day.name, seed), func(t *testing.T) {
				t.Parallel()
				w := day.world(t, seed)
				digest := w.digestEffects(t)
				day.play(t, w)
				w.Advance(day.busy)
				w.endFaults()
				w.CancelAtEndRate, w.DelayedCommandRate, w.MaxStoreDelay = 0, 0, 0
				w.Advance(day.calm)
				mu.Lock()
				defer mu.Unlock()
				for code, n := range digest.kinds {
					kinds[code] += n
				}
				lines = append(lines, fmt.Sprintf("%s seed=%d %x effects=%d", day.name, seed, digest.sum.Sum(nil)[:8], digest.effects))
				t.Logf("broken rules: %d %v", len(w.Rules.Violations), w.Rules.Violations[:min(1, len(w.Rules.Violations))])
			})
		}
	}
}
