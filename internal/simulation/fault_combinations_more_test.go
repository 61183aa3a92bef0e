package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
)

// faultCombination is two troubles at once; number is its line on the users' page.
type faultCombination struct {
	number int
	name   string
	inject func(w *World) // over by faultsEnd
}

const (
	faultsEnd    = 110 * time.Second
	recoveryTime = 170 * time.Second
)

// runFaultCombination plays a meeting with several seeds: every rule holds, and behind the
// troubles every job comes to its end.
func runFaultCombination(t *testing.T, m faultCombination) {
	t.Parallel()
	for seed := uint64(1); seed <= seedCount(); seed++ {
		w := newMixedWorld(t, seed)
		submitMixedJobs(w, 24)
		w.sendUnusualRequests(10*time.Second, faultsEnd-5*time.Second)
		m.inject(w)
		w.Advance(faultsEnd)
		w.MessageLossRate, w.DuplicateHeartbeatRate, w.CancelAtEndRate, w.LostWriteReplyRate, w.DelayedCommandRate = 0, 0, 0, 0, 0
		w.Rules.FaultsEndedAt = w.Now
		w.Advance(recoveryTime)
		w.Rules.CheckFinal(w.Now)
		if w.Store.RejectedTooLarge > 0 {
			t.Errorf("seed %d: %d transactions too large", seed, w.Store.RejectedTooLarge)
		}
		if n := len(w.Rules.Violations); n > 0 {
			t.Errorf("seed %d: %d rules broken:\n%s", seed, n, strings.Join(w.Rules.Violations[:min(5, n)], "\n"))
		}
		for _, id := range slices.Sorted(maps.Keys(w.Jobs)) {
			if !w.FinishedJobs[id] {
				t.Errorf("seed %d: %s has not come to its end", seed, id)
				break
			}
		}
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// restartBusiestController ends the leader and starts it again after a while.
func (w *World) restartBusiestController(downtime time.Duration) {
	if controller := w.busiestController(); controller.Alive {
		controller.Kill()
		w.After(downtime, controller.Start)
	}
}

// partitionMachines cuts machines off for a while.
func (w *World) partitionMachines(fraction float64, duration time.Duration) {
	for _, m := range w.randomMachines(fraction) {
		m.Partitioned = true
		w.After(duration, func() { m.Partitioned = false })
	}
}

// limitAllTeams gives every team a limit.
func (w *World) limitAllTeams(cores float64) {
	teams := map[string]step.Quota{}
	for name, team := range w.Config.Quotas {
		if team.MaxCores == 0 {
			team.MaxCores = cores
		}
		teams[name] = team
		w.Rules.QuotaLimits[name] = team.MaxCores
	}
	w.Config.Quotas = teams
	for _, controller := range w.Controllers {
		controller.Start()
	}
}

// queryRepeatedly asks all controllers about a job and repeats its submission, again and
// again within milliseconds.
func (w *World) queryRepeatedly(id protocol.JobID) {
	body := protocol.Encode(w.Jobs[id])
	for _, controller := range w.Controllers {
		for _, after := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 8 * time.Millisecond, 30 * time.Millisecond} {
			w.After(after, func() {
				w.SendUserRequestTo(controller, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
				w.SendUserRequestTo(controller, protocol.RequestSubmit, id, body, func(int, protocol.JobState) {})
			})
		}
	}
}

// submitAndQueryRepeatedly sends a job whose user looks closely once it is accepted, and, if it is
// to be cancelled, does that at once and looks again once it is confirmed.
func (w *World) submitAndQueryRepeatedly(job *protocol.Job, cancel bool) {
	w.Submit(job)
	accepted := false
	var poll func()
	poll = func() {
		switch observed := w.Rules.job(job.ID); {
		case !accepted && observed.accepted:
			accepted = true
			w.queryRepeatedly(job.ID)
			if cancel {
				w.Cancel(job.ID)
			}
		case accepted && cancel && observed.reportedState.IsTerminal():
			w.queryRepeatedly(job.ID)
			return
		case accepted && !cancel:
			return // its end is seen to by Ended
		}
		w.After(time.Millisecond, poll)
	}
	poll()
}

// The meetings that TestFaultCombinations does not have: those that the users' page listed later.
func TestMoreFaultCombinations(t *testing.T) {
	for _, m := range []faultCombination{
		{number: 2, name: "jobs are cancelled in the seconds in which one controller's work changes hands", inject: func(w *World) {
			w.submitLongJobs(10, "core", 50)
			for i := range 5 {
				w.After(seconds(18+17*float64(i)), func() { w.restartBusiestController(seconds([]float64{0.3, 6}[i%2])) })
				for _, after := range []float64{-0.3, 0, 0.4, 1, 1.7, 2.5, 3.5, 5} {
					w.After(seconds(18+17*float64(i)+after), func() { w.cancelRunningJobs(1) })
				}
			}
		}},
		{number: 6, name: "every team is at its limit, jobs are cancelled whose machines are cut off or hang, and the leader changes", inject: func(w *World) {
			w.limitAllTeams(30)
			w.submitLongJobs(10, "core", 30)
			for i := range 10 {
				job := newArray(protocol.JobID(fmt.Sprintf("j-2%03d", i)), "tight", "standard", 2+i%2, 2, 25)
				job.Team = "tight"
				w.After(seconds(4+0.5*float64(i)), func() { w.Submit(job) })
			}
			for i := range 5 {
				w.After(seconds(16+17*float64(i)), func() {
					for k, m := range w.randomMachines(0.6) {
						if k%2 == 0 {
							m.Hang(seconds(3 + 4*float64(i)))
						}
					}
					w.partitionMachines(0.3, seconds(3+4*float64(i)))
					w.cancelRunningJobs(4)
					w.After(seconds(0.5), func() { w.restartBusiestController(seconds([]float64{0.3, 7}[i%2])) })
				})
			}
		}},
		{number: 7, name: "a transaction is carried out at once and only its answer is lost, while others read what it wrote", inject: func(w *World) {
			w.LostWriteReplyRate = 0.35
			w.Every(500*time.Millisecond, func() {
				ids := slices.Sorted(maps.Keys(w.Jobs))
				if len(ids) == 0 || w.Now > faultsEnd {
					return
				}
				// A question that is under way as its job is accepted may be answered 404.
				if id := ids[w.Rand.IntN(len(ids))]; w.Rules.job(id).accepted {
					w.queryRepeatedly(id)
				}
			})
			for i := range 8 {
				w.After(seconds(20+10*float64(i)), func() { w.cancelRunningJobs(2) })
			}
		}},
		{number: 9, name: "an old report reaches every controller just as a new leader begins", inject: func(w *World) {
			w.submitLongJobs(8, "core", 50)
			for i := range 6 {
				end := 18 + 14*float64(i)
				w.After(seconds(end-float64(1+2*i)), func() {
					for _, m := range w.randomMachines(1) {
						body := m.nextHeartbeat()
						w.After(seconds(float64(1+2*i)), func() { // as it ends, and as others take over
							for _, after := range []float64{0.35, 1.2, 1.8, 2.6, 4.2} {
								w.After(seconds(after), func() {
									for _, controller := range w.Controllers {
										if controller.Alive {
											controller.DeliverHeartbeat(body, func(int, []byte) {})
										}
									}
								})
							}
						})
					}
				})
				w.After(seconds(end), func() { w.restartBusiestController(seconds([]float64{0.3, 5}[i%2])) })
				w.After(seconds(end-0.5), func() { w.cancelRunningJobs(1) })
			}
		}},
		{number: 12, name: "new machines are up within two seconds and get work at once while writes lag, and the leader ends", inject: func(w *World) {
			for i := range 6 {
				w.After(seconds(15+15*float64(i)), func() {
					w.MaxStoreDelay = seconds(1.2)
					w.After(seconds(8), func() { w.MaxStoreDelay = 0 })
					for k := range 6 {
						w.AddMachine("small", protocol.Zone([]string{"a", "b"}[k%2]), false, time.Duration(200+300*k)*time.Millisecond)
						job := newArray(protocol.JobID(fmt.Sprintf("j-5%02d%d", i, k)), "new", "high", 4, 2, 6)
						w.After(time.Duration(200*k)*time.Millisecond, func() { w.Submit(job) })
					}
					w.After(seconds(2.5), func() { w.restartBusiestController(seconds([]float64{0.3, 4}[i%2])) })
				})
			}
		}},
		{number: 15, name: "users ask at all controllers within milliseconds, right after acceptance, end and confirmed cancellation", inject: func(w *World) {
			w.OnJobEnd = w.queryRepeatedly
			for i := range 50 {
				job := newArray(protocol.JobID(fmt.Sprintf("j-4%03d", i)), "close", "high", 1+i%3, 1, 1)
				w.After(seconds(4+2*float64(i)), func() { w.submitAndQueryRepeatedly(job, i%2 == 0) })
			}
			for i := range 4 {
				w.After(seconds(25+20*float64(i)), func() { w.restartBusiestController(seconds([]float64{0.3, 5}[i%2])) })
			}
		}},
		{number: 16, name: "one-task jobs come four a second for minutes, a quarter of them cancelled", inject: func(w *World) {
			for i := range 400 {
				job := newArray(protocol.JobID(fmt.Sprintf("j-3%03d", i)), "one", "standard", 1, 1, 1)
				w.After(seconds(4+0.25*float64(i)), func() { w.Submit(job) })
				if i%4 == 0 {
					w.After(seconds(4+0.25*float64(i))+time.Duration(w.Rand.IntN(3000))*time.Millisecond, func() { w.Cancel(job.ID) })
				}
			}
			w.After(seconds(50), func() { w.restartBusiestController(seconds(0.3)) })
		}},
		{number: 19, name: "a command of a leader that has ended or been deposed arrives after the new leader's", inject: func(w *World) {
			w.DelayedCommandRate = 0.7
			w.submitLongJobs(10, "core", 50)
			for i := range 6 {
				w.After(seconds(18+14*float64(i)), func() {
					w.cancelRunningJobs(3)
					controller := w.busiestController()
					if i%2 == 0 {
						w.After(seconds(0.6), func() { w.restartBusiestController(seconds(0.3)) })
						return
					}
					controller.StoreUnreachable, controller.PeersUnreachable = true, true
					w.After(seconds(12), func() { controller.StoreUnreachable, controller.PeersUnreachable = false, false })
				})
			}
		}},
	} {
		t.Run(fmt.Sprintf("%d %s", m.number, m.name), func(t *testing.T) { runFaultCombination(t, m) })
	}
}

// The checker sees an answer that goes back between two controllers within
// milliseconds, and allows the older one to a question that was asked before.
func TestRuleCheckerDetectsStaleReplies(t *testing.T) {
	const reportedAt = time.Second
	job := newArray("j-000001", "l", "high", 1, 1, 1)
	for _, c := range []struct {
		name   string
		first  protocol.JobState
		asked  time.Duration
		verb   protocol.RequestType
		status int
		second protocol.JobState
		broken string
	}{
		{"withdrawn, then running", protocol.JobCancelled, reportedAt + 2*time.Millisecond, protocol.RequestQuery, 200, protocol.JobRunning, "went_back"},
		{"withdrawn, then done", protocol.JobCancelled, reportedAt + 2*time.Millisecond, protocol.RequestSubmit, 200, protocol.JobDone, "went_back"},
		{"done, then queued", protocol.JobDone, reportedAt + time.Millisecond, protocol.RequestSubmit, 200, protocol.JobQueued, "went_back"},
		{"accepted, then unknown", protocol.JobQueued, reportedAt + time.Millisecond, protocol.RequestQuery, 404, "", "forgotten"},
		{"accepted, then refused", protocol.JobQueued, reportedAt + time.Millisecond, protocol.RequestSubmit, 422, "", "forgotten"},
		{"asked before", protocol.JobCancelled, reportedAt - 2*time.Millisecond, protocol.RequestQuery, 200, protocol.JobRunning, ""},
		{"unsure", protocol.JobCancelled, reportedAt + time.Millisecond, protocol.RequestQuery, 503, "", ""},
		{"the same", protocol.JobCancelled, reportedAt + time.Millisecond, protocol.RequestQuery, 200, protocol.JobCancelled, ""},
	} {
		checker := NewRuleChecker(time.Minute)
		checker.RecordSubmission(0, job)
		if c.first == protocol.JobCancelled {
			checker.RecordCancelRequest(job.ID)
		}
		if c.first == protocol.JobDone || c.second == protocol.JobDone {
			checker.job(job.ID).completedTasks[0] = true
		}
		checker.RecordReply(reportedAt, reportedAt-5*time.Millisecond, protocol.RequestQuery, job.ID, 200, c.first)
		checker.RecordReply(reportedAt+6*time.Millisecond, c.asked, c.verb, job.ID, c.status, c.second)
		got := ""
		if len(checker.Violations) > 0 {
			got, _, _ = strings.Cut(checker.Violations[0], ":")
		}
		if got != c.broken || len(checker.Violations) > 1 {
			t.Errorf("%s: %q; wanted %q", c.name, checker.Violations, c.broken)
		}
	}
}
