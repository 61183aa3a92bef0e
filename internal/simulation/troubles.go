package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tillerarch/internal/coordination"
	"tillerarch/internal/protocol"
)

// Freeze lets the controller stand still for a while: what comes in waits, and is
// read in one go when it goes on.
func (n *Node) Freeze(d time.Duration) {
	n.frozen = true
	life := n.life
	n.w.At(d, func() {
		if n.life != life || !n.Alive {
			return
		}
		n.frozen = false
		in := n.stuck
		n.stuck = nil
		for _, i := range in {
			n.step(i)
		}
	})
}

// holdCommand carries a direct command out seconds late, whatever its sender has
// become meanwhile; nobody answers it.
func (n *Node) holdCommand(v coordination.SendCommands) {
	w := n.w
	n.unanswered(time.Duration(2000+w.Rng.IntN(14000))*time.Millisecond, 2*time.Second, func() {
		if m := w.Workers[v.Machine]; m != nil && !m.Gone {
			m.Do(v.Commands)
		}
	}, coordination.AgentResult{Machine: v.Machine, Err: errLost})
}

// unanswered carries something out after a while; whoever asked for it hears nothing
// until its time is up.
func (n *Node) unanswered(after, wait time.Duration, do func(), lost coordination.Input) {
	life := n.life
	n.w.At(after, do)
	n.w.At(wait, func() {
		if n.Alive && n.life == life {
			n.step(lost)
		}
	})
}

// state sends something to the state service, which may be cut off, refuse this
// controller alone, be slow, or carry a transaction out late.
func (n *Node) state(wait time.Duration, do func() coordination.Input, lost, refused coordination.Input) {
	w := n.w
	if n.Refused {
		n.call(false, wait, func() coordination.Input { return refused }, lost)
		return
	}
	_, commits := lost.(coordination.CommitResult)
	if commits && w.Rng.Float64() < w.Late {
		n.unanswered(time.Duration(2000+w.Rng.IntN(10000))*time.Millisecond, wait, func() { do() }, lost)
		return
	}
	if commits && w.Unheard > 0 && w.Rng.Float64() < w.Unheard {
		n.unanswered(w.delay(), wait, func() { do() }, lost)
		return
	}
	if w.Slow > 0 {
		life, d := n.life, time.Duration(w.Rng.Int64N(int64(w.Slow)))
		w.At(d, func() {
			if n.Alive && n.life == life {
				n.call(n.NoState, wait-d, do, lost)
			}
		})
		return
	}
	n.call(n.NoState, wait, do, lost)
}

// ended calls a job off at the moment of its end, now and then.
func (w *World) ended(id protocol.JobID) {
	j := w.Rules.job(id)
	if j.desc == nil || len(j.done) < j.desc.TaskCount {
		return
	}
	if w.Ended != nil {
		w.Ended(id)
	}
	if !j.wanted && w.Rng.Float64() < w.AtEnd {
		w.Abort(id)
	}
}

// odd lets users repeat submissions of unfinished jobs, call off jobs that are done, ask
// about jobs that nobody has sent, and send jobs that can't run or lack a field.
func (w *World) odd(from, to time.Duration) {
	k := 0
	w.Every(700*time.Millisecond, func() {
		if w.Now < from || w.Now > to {
			return
		}
		k++
		id := protocol.JobID(fmt.Sprintf("j-9%05d", k))
		d := &protocol.Job{ID: id, Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "high", TaskCount: 1, Cores: 1, MemoryGB: 1, Image: "b", EstimatedRunSeconds: 1}
		switch ids := slices.Sorted(maps.Keys(w.Jobs)); {
		case k%5 == 0:
			d.Cores = 1000
			w.Unfit(id, protocol.Encode(d))
		case k%5 == 1:
			d.Team = "nobody"
			w.Unfit(id, protocol.Encode(d))
		case k%5 == 2:
			w.Unfit(id, []byte(`{"uid":"`+string(id)+`","lane":"l","desk":"core"}`))
		case k%5 == 3:
			w.User(protocol.RequestQuery, id, nil, func(int, protocol.JobState) {})
		case len(ids) > 0:
			old := ids[w.Rng.IntN(len(ids))]
			if !w.Rules.job(old).accepted {
				return
			}
			w.Ask(w.Nodes[k%len(w.Nodes)], protocol.RequestSubmit, old, protocol.Encode(w.Jobs[old]), func(int, protocol.JobState) {})
			if w.Done[old] {
				w.Abort(old)
			}
		}
	})
}

// Unfit sends a job that can't run or lacks a field, until that is said.
func (w *World) Unfit(id protocol.JobID, body []byte) {
	w.Rules.job(id).unfit = true
	w.User(protocol.RequestSubmit, id, body, func(status int, _ protocol.JobState) {
		if status != 400 && status != 422 {
			w.At(time.Second, func() { w.Unfit(id, body) })
		}
	})
}

// watchRoom tells the rules which jobs wait although machines that are up have room.
func (w *World) watchRoom() {
	type left struct {
		m          *Worker
		cores, mem float64
	}
	var free []left
	used := map[string]float64{}
	here := map[protocol.Task]bool{}
	for _, id := range slices.Sorted(maps.Keys(w.Workers)) {
		m := w.Workers[id]
		if m.Gone || m.tally == 0 {
			continue
		}
		f := left{m: m}
		for i := range w.Flavors {
			if w.Flavors[i].Name == m.Type {
				f.cores, f.mem = w.Flavors[i].Cores, w.Flavors[i].MemoryGB
			}
		}
		for t, k := range m.tasks {
			if k.stage != protocol.TaskExited {
				d := w.Jobs[t.Job]
				f.cores, f.mem = f.cores-d.Cores, f.mem-d.MemoryGB
				used[d.Team] += d.Cores
				here[t] = true
			}
		}
		if m.recall == 0 && !m.Faulty {
			free = append(free, f)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.Jobs)) {
		d, j := w.Jobs[id], w.Rules.job(id)
		waits := 0
		for p := range min(d.TaskCount, 500) {
			if !j.done[p] && !here[protocol.Task{Job: id, Index: p}] {
				waits++
			}
		}
		need := 1
		if d.IsGang() {
			need = waits
		}
		limit := w.Rules.Limits[d.Team]
		room, fits := limit == 0 || used[d.Team]+float64(need)*d.Cores <= limit+1e-9, 0
		for _, f := range free {
			// Spot machines depend on more than room.
			if d.AllowsPlacement(f.m.Type, f.m.Zone) && !f.m.Spot && f.cores+1e-9 >= d.Cores && f.mem+1e-9 >= d.MemoryGB {
				fits += int(min((f.cores+1e-9)/d.Cores, (f.mem+1e-9)/d.MemoryGB))
			}
		}
		// What several tasks ask of zones together is not looked into here.
		w.Rules.Room(w.Now, id, waits > 0 && room && fits >= need && (need == 1 || !d.SingleZone && !d.SpreadZones) && (!d.SpreadZones || d.TaskCount == 1))
	}
}

// Cost is what the steps of one kind of input took.
type Cost struct {
	Count int
	Time  time.Duration
}

// Costs are kept by the kind of input.
type Costs map[string]*Cost

func (c Costs) add(in coordination.Input, d time.Duration) {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", in), "coordination.")
	if c[kind] == nil {
		c[kind] = &Cost{}
	}
	c[kind].Count++
	c[kind].Time += d
}

// apart tells whether a cut zone lies between a controller and a machine.
func (w *World) apart(n *Node, m *Worker) bool {
	for z, in := range w.Zone {
		if (m.Zone == z) != (n == in) {
			return true
		}
	}
	return false
}

// Lose takes a machine away with all that is on it.
func (w *World) Lose(id protocol.MachineID) {
	if m := w.Workers[id]; m != nil && !m.Gone {
		m.kill()
		m.lay()
		m.Gone = true
	}
}

// Recall takes a machine away after a notice.
func (w *World) Recall(id protocol.MachineID, notice time.Duration) {
	if m := w.Workers[id]; m != nil && !m.Gone {
		m.recall = w.Now + notice
		m.changed = true
		w.At(notice, func() { w.Lose(id) })
	}
}
