package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"tillerarch/internal/protocol"
)

// running lists jobs of which a task is on a machine, in order.
func (w *World) running() []protocol.JobID {
	on := map[protocol.JobID]bool{}
	for _, m := range w.Workers {
		for t, k := range m.tasks {
			if !m.Gone && k.stage != protocol.TaskExited {
				on[t.Job] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(on))
}

// cancelRunning lets users call off up to n jobs that run.
func (w *World) cancelRunning(n int) {
	for _, id := range w.running() {
		if j := w.Rules.job(id); n > 0 && j.accepted && !j.wanted {
			n--
			w.At(time.Duration(w.Rng.IntN(200))*time.Millisecond, func() { w.Abort(id) })
		}
	}
}

// some gives about the given part of the machines, in order.
func (w *World) some(part float64) (out []*Worker) {
	for _, id := range slices.Sorted(maps.Keys(w.Workers)) {
		if m := w.Workers[id]; !m.Gone && w.Rng.Float64() < part {
			out = append(out, m)
		}
	}
	return out
}

func (w *World) restart(n *Node, at, for_ time.Duration) {
	w.At(at, n.Kill)
	w.At(at+for_, n.Start)
}

// long sends jobs of few tasks that end far apart.
func (w *World) long(n int, desk string, reckon float64) {
	for i := range n {
		d := array(protocol.JobID(fmt.Sprintf("j-8%03d", i)), "long", "standard", 2+i%2, 2, reckon)
		d.Team = desk
		w.At(time.Duration(3000+i*500)*time.Millisecond, func() { w.Submit(d) })
	}
}

// Two troubles at once, meetings that the users have listed; TestMoreMeetings has the
// others. Each row's number is its line on their page.
func TestMeetings(t *testing.T) {
	outage := func(w *World, from, for_ float64) {
		w.At(seconds(from), func() { w.State.Down = true })
		w.At(seconds(from+for_), func() { w.State.Down = false })
	}
	refuse := func(w *World, from, for_ float64) {
		w.At(seconds(from), func() {
			n := w.leader()
			n.Refused = true
			w.At(seconds(for_), func() { n.Refused = false })
		})
	}
	for _, m := range []meeting{
		{1, "jobs are called off as the leader is refused, and a second later all are", func(w *World) {
			w.long(8, "core", 60)
			for _, at := range []float64{25, 68} {
				refuse(w, at, 14)
				w.At(seconds(at+0.2), func() { w.cancelRunning(5) })
				outage(w, at+1, 34)
			}
		}},
		{3, "a cancellation, a question or a repeated submission meets the end of the last task", func(w *World) {
			w.AtEnd = 0.5
			w.At(seconds(100), func() { w.AtEnd = 0 })
			w.Ended = func(id protocol.JobID) {
				for _, n := range w.Nodes {
					w.Ask(n, protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
					w.Ask(n, protocol.RequestSubmit, id, protocol.Encode(w.Jobs[id]), func(int, protocol.JobState) {})
				}
			}
		}},
		{4, "workers reach no controller, while direct commands reach them", func(w *World) {
			w.long(4, "core", 60)
			for i := range 4 {
				w.At(seconds(20+18*float64(i)), func() {
					for _, m := range w.some(0.6) {
						m.Mute = true
						w.At(seconds(2+8*float64(i)), func() { m.Mute = false })
					}
					w.cancelRunning(2)
				})
			}
		}},
		{17, "old reports arrive after newer ones, of earlier sessions and attempts too", func(w *World) {
			w.Copies = 0.6
			for i := range 12 {
				w.At(seconds(16+6*float64(i)), func() {
					for _, m := range w.some(0.15) {
						m.Reboot()
					}
				})
			}
			w.restart(w.Nodes[1], seconds(50), seconds(0.3))
		}},
		{10, "jobs bound to one zone, arrays too, lose machines", func(w *World) {
			for i := range 8 {
				d := array(protocol.JobID(fmt.Sprintf("j-7%03d", i)), "bound", "standard", 6, 2, 20)
				d.SingleZone = true
				if i%2 == 0 {
					d.Kind = protocol.KindGang
				}
				if i%3 == 0 {
					d.Zone = "a"
				}
				w.At(seconds(4+5*float64(i)), func() { w.Submit(d) })
			}
			for i := range 14 {
				w.At(seconds(15+5*float64(i)), func() {
					for _, m := range w.some(0.1) {
						if i%3 == 0 {
							m.Cut = true
							w.At(seconds(20), func() { m.Cut = false })
						} else {
							w.Lose(m.ID)
						}
					}
				})
			}
			w.restart(w.Nodes[0], seconds(40), seconds(2))
		}},
		{13, "leaders change ten times in two minutes, also inside an outage", func(w *World) {
			w.long(6, "core", 40)
			for i := range 10 {
				w.At(seconds(14+9*float64(i)), func() {
					w.endLeader(seconds([]float64{0.2, 4}[i%2]))
				})
			}
			outage(w, 40, 16)
			w.At(seconds(45), func() { w.cancelRunning(3) })
		}},
		{23, "commands or their answers are held up for seconds, and the machines go on", func(w *World) {
			w.Drop = 0.08
			w.long(6, "core", 40)
			for i := range 16 {
				w.At(seconds(14+5*float64(i)), func() {
					for _, m := range w.some(0.2) {
						m.Hang(seconds(1 + float64(w.Rng.IntN(13))))
					}
					w.cancelRunning(1)
				})
			}
			w.restart(w.Nodes[2], seconds(60), seconds(1))
		}},
		{8, "transactions without an answer are carried out late, after newer ones", func(w *World) {
			// Few machines on a page: what is planned anew does not touch the same records.
			w.Config.ValueBytes, w.Late = 1700, 0.35
			for _, n := range w.Nodes {
				n.Start()
			}
			w.At(seconds(105), func() { w.Late = 0 })
			for i := range 5 {
				w.restart(w.Nodes[i%3], seconds(20+15*float64(i)), seconds([]float64{0.3, 4}[i%2]))
				w.At(seconds(24+15*float64(i)), func() { w.cancelRunning(2) })
			}
		}},
		{25, "reports are held back until a new leader has acted, and arrive there", func(w *World) {
			w.long(6, "core", 50)
			for i := range 6 {
				w.At(seconds(18+14*float64(i)), func() {
					n := w.leader()
					for _, m := range w.some(1) {
						body := m.body()
						for _, o := range w.others(n) {
							w.At(seconds(2+float64(w.Rng.IntN(12))), func() {
								if o.Alive {
									o.Report(body, func(int, []byte) {})
								}
							})
						}
					}
					n.Kill()
					w.At(seconds(5), n.Start)
					w.cancelRunning(1)
				})
			}
		}},
		{18, "the state service is slow, or refuses the leader and then everybody, while users cancel and ask", func(w *World) {
			w.long(8, "core", 60)
			w.Slow = seconds(1.2)
			w.At(seconds(40), func() { w.Slow = 0 })
			for _, at := range []float64{22, 30, 45.5, 60, 80} {
				w.At(seconds(at), func() { w.cancelRunning(2) })
			}
			refuse(w, 45, 12)
			outage(w, 48, 45)
		}},
		{5, "controllers hand over and back, all end, and one returns", func(w *World) {
			w.long(6, "core", 40)
			for i, gap := range []float64{0.3, 0.9, 6} {
				for k, n := range w.Nodes {
					w.At(seconds(20+30*float64(i)), n.Kill)
					back := gap
					if k != i {
						back = gap + 12
					}
					w.At(seconds(20+30*float64(i)+back), n.Start)
				}
				w.At(seconds(20+30*float64(i)+gap+2), func() { w.cancelRunning(2) })
			}
		}},
		{14, "jobs of two or three tasks end far apart across a change of leader", func(w *World) {
			w.long(16, "core", 30)
			for i := range 9 {
				w.At(seconds(12+10*float64(i)), func() { w.endLeader(seconds([]float64{0.3, 8}[i%2])) })
			}
		}},
		{11, "more work than room, urgent and not, over slow links", func(w *World) {
			w.Lag, w.NoHire = seconds(0.15), true
			w.At(seconds(105), func() { w.Lag, w.NoHire = 0, false })
			for i := range 40 {
				d := array(protocol.JobID(fmt.Sprintf("j-6%03d", i)), "more", []protocol.Priority{"high", "low", "standard"}[i%3], 8, 2, 5)
				w.At(seconds(5+2*float64(i)), func() { w.Submit(d) })
			}
			for i := range 5 {
				w.At(seconds(20+16*float64(i)), func() { w.cancelRunning(2) })
			}
		}},
		{21, "a team is at its limit as the leader changes, some machines can't be asked, and jobs are called off", func(w *World) {
			w.long(14, "tight", 25)
			for i := range 5 {
				w.At(seconds(16+16*float64(i)), func() {
					w.cutSome(0.35, seconds(4+4*float64(i)))
					n := w.leader()
					n.Kill()
					w.At(seconds([]float64{0.3, 7}[i%2]), n.Start)
					w.At(seconds(1), func() { w.cancelRunning(3) })
				})
			}
		}},
		{26, "all controllers are away for longer than lease_s", func(w *World) {
			w.long(6, "core", 40)
			for _, at := range []float64{20, 70} {
				w.At(seconds(at-0.2), func() { w.cancelRunning(3) })
				for i, n := range w.Nodes {
					w.restart(n, seconds(at), seconds(18+float64(i)))
				}
			}
		}},
		{24, "a leader ends while machines with long tasks can't be reached or don't hear the new one", func(w *World) {
			w.long(10, "core", 60)
			for i := range 5 {
				w.At(seconds(16+17*float64(i)), func() {
					for k, m := range w.some(0.6) {
						if k%2 == 0 {
							m.Cut = true
							w.At(seconds(3+4*float64(i)), func() { m.Cut = false })
						} else {
							m.Deaf = true
							w.At(seconds(3+4*float64(i)), func() { m.Deaf = false })
						}
					}
					n := w.leader()
					n.Kill()
					w.At(seconds([]float64{6, 0.4}[i%2]), n.Start)
					w.cancelRunning(1)
				})
			}
		}},
		{20, "a leader loses state service and other controllers, and jobs are called off through the new one", func(w *World) {
			w.long(10, "core", 60)
			for i := range 2 {
				w.At(seconds(20+45*float64(i)), func() {
					n := w.leader()
					n.NoState, n.NoPeers = true, true
					w.At(seconds(36), func() { n.NoState, n.NoPeers = false, false })
					for _, at := range []float64{0.5, 4, 9, 14} {
						w.At(seconds(at), func() { w.cancelRunning(2) })
					}
				})
			}
		}},
		{22, "a zone with workers and a controller is cut off for longer than lease_s", func(w *World) {
			w.long(10, "core", 50)
			for i := range 2 {
				n := w.Nodes[2-i]
				z := []protocol.Zone{"a", "b"}[i]
				w.At(seconds(20+45*float64(i)), func() {
					n.NoState, n.NoPeers, n.NoUsers = true, true, true
					w.Zone[z] = n
					w.At(seconds(3), func() { w.cancelRunning(3) })
					w.At(seconds(20), func() { w.cancelRunning(2) })
				})
				w.At(seconds(58+45*float64(i)), func() {
					n.NoState, n.NoPeers, n.NoUsers = false, false, false
					delete(w.Zone, z)
				})
			}
			w.restart(w.Nodes[0], seconds(30), seconds(0.4))
		}},
	} {
		t.Run(fmt.Sprintf("%d %s", m.number, m.name), func(t *testing.T) { playMeeting(t, m) })
	}
}
