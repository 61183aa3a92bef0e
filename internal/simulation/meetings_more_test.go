package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
)

// meeting is two troubles at once; number is its line on the users' page.
type meeting struct {
	number  int
	name    string
	trouble func(w *World) // over by troublesEnd
}

const (
	troublesEnd = 110 * time.Second
	calmTime    = 170 * time.Second
)

// playMeeting plays a meeting with several seeds: every rule holds, and behind the
// troubles every job comes to its end.
func playMeeting(t *testing.T, m meeting) {
	t.Parallel()
	for seed := uint64(1); seed <= seeds(); seed++ {
		w := mixedWorld(t, seed)
		submitMix(w, 24)
		w.odd(10*time.Second, troublesEnd-5*time.Second)
		m.trouble(w)
		w.Run(troublesEnd)
		w.Drop, w.Copies, w.AtEnd, w.Unheard, w.Held = 0, 0, 0, 0, 0
		w.Rules.Calm = w.Now
		w.Run(calmTime)
		w.Rules.End(w.Now)
		if w.State.Over > 0 {
			t.Errorf("seed %d: %d transactions too large", seed, w.State.Over)
		}
		if n := len(w.Rules.Broken); n > 0 {
			t.Errorf("seed %d: %d rules broken:\n%s", seed, n, strings.Join(w.Rules.Broken[:min(5, n)], "\n"))
		}
		for _, id := range slices.Sorted(maps.Keys(w.Jobs)) {
			if !w.Done[id] {
				t.Errorf("seed %d: %s has not come to its end", seed, id)
				break
			}
		}
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// endLeader ends the leader and starts it again after a while.
func (w *World) endLeader(back time.Duration) {
	if n := w.leader(); n.Alive {
		n.Kill()
		w.At(back, n.Start)
	}
}

// cutSome cuts machines off for a while.
func (w *World) cutSome(part float64, for_ time.Duration) {
	for _, m := range w.some(part) {
		m.Cut = true
		w.At(for_, func() { m.Cut = false })
	}
}

// limitAll gives every team a limit.
func (w *World) limitAll(cores float64) {
	teams := map[string]coordination.Quota{}
	for name, team := range w.Config.Quotas {
		if team.MaxCores == 0 {
			team.MaxCores = cores
		}
		teams[name] = team
		w.Rules.Limits[name] = team.MaxCores
	}
	w.Config.Quotas = teams
	for _, n := range w.Nodes {
		n.Start()
	}
}

// lookClosely asks all controllers about a job and repeats its submission, again and
// again within milliseconds.
func (w *World) lookClosely(id protocol.JobID) {
	body := protocol.Encode(w.Jobs[id])
	for _, n := range w.Nodes {
		for _, after := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 8 * time.Millisecond, 30 * time.Millisecond} {
			w.At(after, func() {
				w.Ask(n, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
				w.Ask(n, protocol.RequestSubmit, id, body, func(int, protocol.JobState) {})
			})
		}
	}
}

// submitClosely sends a job whose user looks closely once it is accepted, and, if it is
// to be cancelled, does that at once and looks again once it is confirmed.
func (w *World) submitClosely(d *protocol.Job, cancel bool) {
	w.Submit(d)
	accepted := false
	var watch func()
	watch = func() {
		switch j := w.Rules.job(d.ID); {
		case !accepted && j.accepted:
			accepted = true
			w.lookClosely(d.ID)
			if cancel {
				w.Abort(d.ID)
			}
		case accepted && cancel && j.told.IsTerminal():
			w.lookClosely(d.ID)
			return
		case accepted && !cancel:
			return // its end is seen to by Ended
		}
		w.At(time.Millisecond, watch)
	}
	watch()
}

// The meetings that TestMeetings does not have: those that the users' page listed later.
func TestMoreMeetings(t *testing.T) {
	for _, m := range []meeting{
		{2, "jobs are cancelled in the seconds in which one controller's work changes hands", func(w *World) {
			w.long(10, "core", 50)
			for i := range 5 {
				w.At(seconds(18+17*float64(i)), func() { w.endLeader(seconds([]float64{0.3, 6}[i%2])) })
				for _, after := range []float64{-0.3, 0, 0.4, 1, 1.7, 2.5, 3.5, 5} {
					w.At(seconds(18+17*float64(i)+after), func() { w.cancelRunning(1) })
				}
			}
		}},
		{6, "every team is at its limit, jobs are cancelled whose machines are cut off or hang, and the leader changes", func(w *World) {
			w.limitAll(30)
			w.long(10, "core", 30)
			for i := range 10 {
				d := array(protocol.JobID(fmt.Sprintf("j-2%03d", i)), "tight", "standard", 2+i%2, 2, 25)
				d.Team = "tight"
				w.At(seconds(4+0.5*float64(i)), func() { w.Submit(d) })
			}
			for i := range 5 {
				w.At(seconds(16+17*float64(i)), func() {
					for k, m := range w.some(0.6) {
						if k%2 == 0 {
							m.Hang(seconds(3 + 4*float64(i)))
						}
					}
					w.cutSome(0.3, seconds(3+4*float64(i)))
					w.cancelRunning(4)
					w.At(seconds(0.5), func() { w.endLeader(seconds([]float64{0.3, 7}[i%2])) })
				})
			}
		}},
		{7, "a transaction is carried out at once and only its answer is lost, while others read what it wrote", func(w *World) {
			w.Unheard = 0.35
			w.Every(500*time.Millisecond, func() {
				ids := slices.Sorted(maps.Keys(w.Jobs))
				if len(ids) == 0 || w.Now > troublesEnd {
					return
				}
				// A question that is under way as its job is accepted may be answered 404.
				if id := ids[w.Rng.IntN(len(ids))]; w.Rules.job(id).accepted {
					w.lookClosely(id)
				}
			})
			for i := range 8 {
				w.At(seconds(20+10*float64(i)), func() { w.cancelRunning(2) })
			}
		}},
		{9, "an old report reaches every controller just as a new leader begins", func(w *World) {
			w.long(8, "core", 50)
			for i := range 6 {
				end := 18 + 14*float64(i)
				w.At(seconds(end-float64(1+2*i)), func() {
					for _, m := range w.some(1) {
						body := m.body()
						w.At(seconds(float64(1+2*i)), func() { // as it ends, and as others take over
							for _, after := range []float64{0.35, 1.2, 1.8, 2.6, 4.2} {
								w.At(seconds(after), func() {
									for _, n := range w.Nodes {
										if n.Alive {
											n.Report(body, func(int, []byte) {})
										}
									}
								})
							}
						})
					}
				})
				w.At(seconds(end), func() { w.endLeader(seconds([]float64{0.3, 5}[i%2])) })
				w.At(seconds(end-0.5), func() { w.cancelRunning(1) })
			}
		}},
		{12, "new machines are up within two seconds and get work at once while writes lag, and the leader ends", func(w *World) {
			for i := range 6 {
				w.At(seconds(15+15*float64(i)), func() {
					w.Slow = seconds(1.2)
					w.At(seconds(8), func() { w.Slow = 0 })
					for k := range 6 {
						w.Machine("small", protocol.Zone([]string{"a", "b"}[k%2]), false, time.Duration(200+300*k)*time.Millisecond)
						d := array(protocol.JobID(fmt.Sprintf("j-5%02d%d", i, k)), "new", "high", 4, 2, 6)
						w.At(time.Duration(200*k)*time.Millisecond, func() { w.Submit(d) })
					}
					w.At(seconds(2.5), func() { w.endLeader(seconds([]float64{0.3, 4}[i%2])) })
				})
			}
		}},
		{15, "users ask at all controllers within milliseconds, right after acceptance, end and confirmed cancellation", func(w *World) {
			w.Ended = w.lookClosely
			for i := range 50 {
				d := array(protocol.JobID(fmt.Sprintf("j-4%03d", i)), "close", "high", 1+i%3, 1, 1)
				w.At(seconds(4+2*float64(i)), func() { w.submitClosely(d, i%2 == 0) })
			}
			for i := range 4 {
				w.At(seconds(25+20*float64(i)), func() { w.endLeader(seconds([]float64{0.3, 5}[i%2])) })
			}
		}},
		{16, "one-task jobs come four a second for minutes, a quarter of them cancelled", func(w *World) {
			for i := range 400 {
				d := array(protocol.JobID(fmt.Sprintf("j-3%03d", i)), "one", "standard", 1, 1, 1)
				w.At(seconds(4+0.25*float64(i)), func() { w.Submit(d) })
				if i%4 == 0 {
					w.At(seconds(4+0.25*float64(i))+time.Duration(w.Rng.IntN(3000))*time.Millisecond, func() { w.Abort(d.ID) })
				}
			}
			w.At(seconds(50), func() { w.endLeader(seconds(0.3)) })
		}},
		{19, "a command of a leader that has ended or been deposed arrives after the new leader's", func(w *World) {
			w.Held = 0.7
			w.long(10, "core", 50)
			for i := range 6 {
				w.At(seconds(18+14*float64(i)), func() {
					w.cancelRunning(3)
					n := w.leader()
					if i%2 == 0 {
						w.At(seconds(0.6), func() { w.endLeader(seconds(0.3)) })
						return
					}
					n.NoState, n.NoPeers = true, true
					w.At(seconds(12), func() { n.NoState, n.NoPeers = false, false })
				})
			}
		}},
	} {
		t.Run(fmt.Sprintf("%d %s", m.number, m.name), func(t *testing.T) { playMeeting(t, m) })
	}
}

// The checker sees an answer that goes back between two controllers within
// milliseconds, and allows the older one to a question that was asked before.
func TestCheckerSeesAnswersGoBack(t *testing.T) {
	const told = time.Second
	d := array("j-000001", "l", "high", 1, 1, 1)
	for _, c := range []struct {
		name   string
		first  protocol.JobState
		asked  time.Duration
		verb   protocol.RequestType
		status int
		second protocol.JobState
		broken string
	}{
		{"withdrawn, then running", protocol.JobCancelled, told + 2*time.Millisecond, protocol.RequestQuery, 200, protocol.JobRunning, "went_back"},
		{"withdrawn, then done", protocol.JobCancelled, told + 2*time.Millisecond, protocol.RequestSubmit, 200, protocol.JobDone, "went_back"},
		{"done, then queued", protocol.JobDone, told + time.Millisecond, protocol.RequestSubmit, 200, protocol.JobQueued, "went_back"},
		{"accepted, then unknown", protocol.JobQueued, told + time.Millisecond, protocol.RequestQuery, 404, "", "forgotten"},
		{"accepted, then refused", protocol.JobQueued, told + time.Millisecond, protocol.RequestSubmit, 422, "", "forgotten"},
		{"asked before", protocol.JobCancelled, told - 2*time.Millisecond, protocol.RequestQuery, 200, protocol.JobRunning, ""},
		{"unsure", protocol.JobCancelled, told + time.Millisecond, protocol.RequestQuery, 503, "", ""},
		{"the same", protocol.JobCancelled, told + time.Millisecond, protocol.RequestQuery, 200, protocol.JobCancelled, ""},
	} {
		r := NewRules(time.Minute)
		r.Submitted(0, d)
		if c.first == protocol.JobCancelled {
			r.CancelWanted(d.ID)
		}
		if c.first == protocol.JobDone || c.second == protocol.JobDone {
			r.job(d.ID).done[0] = true
		}
		r.Told(told, told-5*time.Millisecond, protocol.RequestQuery, d.ID, 200, c.first)
		r.Told(told+6*time.Millisecond, c.asked, c.verb, d.ID, c.status, c.second)
		got := ""
		if len(r.Broken) > 0 {
			got, _, _ = strings.Cut(r.Broken[0], ":")
		}
		if got != c.broken || len(r.Broken) > 1 {
			t.Errorf("%s: %q; wanted %q", c.name, r.Broken, c.broken)
		}
	}
}
