package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// History checks, at every revision of the state service, that each machine on record is
// on one page with one owner, that a new owner lives and has a token above all before it,
// and that moves take their phases in order. It reads the records by themselves, not by
// way of a controller's replica.
type History struct {
	Broken    func(string) // is told of what is wrong
	Revisions int
	Passed    int // pages that went from one living owner to another by a move
	Closed    int // moves that came to their end
	Aborted   map[string]int
	Held      []time.Duration // how long pages took no new task
	Took      []time.Duration // how long moves took from their begin to their end
	Puts      int             // writes of moves' records
	Machines  int             // that were moved, each time counted
	Idle      time.Duration   // how long moving machines took no new task, all together

	pages  map[storage.ShardID]storage.ShardSummary
	on     map[protocol.MachineID]map[storage.ShardID]bool
	tenure map[protocol.MachineID]storage.ShardSummary // of each machine: its newest owner and epoch
	moves  map[string]storage.TransferRecord
	living map[string]storage.Incarnation // by the key of the controller
	owners map[tenure]storage.Incarnation // of each machine in each of its epochs
}

// NewHistory makes a checker of a store that is empty.
func NewHistory(broken func(string)) *History {
	return &History{Broken: broken, Aborted: map[string]int{}, pages: map[storage.ShardID]storage.ShardSummary{}, on: map[protocol.MachineID]map[storage.ShardID]bool{},
		tenure: map[protocol.MachineID]storage.ShardSummary{}, moves: map[string]storage.TransferRecord{}, living: map[string]storage.Incarnation{}, owners: map[tenure]storage.Incarnation{}}
}

func (h *History) broken(rev protocol.Revision, format string, args ...any) {
	h.Broken(fmt.Sprintf("revision %d: ", rev) + fmt.Sprintf(format, args...))
}

// Apply takes in all changes of one revision.
func (h *History) Apply(rev protocol.Revision, changes []protocol.Event) {
	h.Revisions++
	before := map[storage.ShardID]storage.ShardSummary{}
	touched := map[protocol.MachineID]bool{}
	var moved []storage.TransferRecord
	for _, change := range changes {
		key := change.PutKey + change.DeleteKey
		if strings.HasPrefix(key, storage.ControllerKey("")) {
			h.setMember(rev, key, change.Value)
		} else if id, ok := strings.CutPrefix(key, storage.ShardKey("")); ok {
			before[storage.ShardID(id)] = h.pages[storage.ShardID(id)]
			h.setPage(rev, storage.ShardID(id), change.Value, touched)
		} else if strings.HasPrefix(change.PutKey, storage.TransferKey("")) {
			if record, ok := h.setMove(rev, change.PutKey, change.Value); ok {
				moved = append(moved, record)
			}
		}
	}
	for id := range touched {
		h.checkMachine(rev, id)
	}
	for _, record := range moved {
		h.checkTransfer(rev, record, before)
	}
}

// setMember notes which run of a controller lives; data is empty where its lease has ended.
func (h *History) setMember(rev protocol.Revision, key string, data json.RawMessage) {
	delete(h.living, key)
	if len(data) == 0 {
		return
	}
	var record storage.ControllerRecord
	if err := json.Unmarshal(data, &record); err != nil {
		h.broken(rev, "controller %s can't be read: %v", key, err)
		return
	}
	h.living[key] = record.Incarnation
}

// setPage replaces what a page lists; data is empty where it is deleted.
func (h *History) setPage(rev protocol.Revision, id storage.ShardID, data json.RawMessage, touched map[protocol.MachineID]bool) {
	for _, m := range h.pages[id].Machines {
		touched[m] = true
		delete(h.on[m], id)
	}
	delete(h.pages, id)
	if len(data) == 0 {
		return
	}
	page, err := storage.DecodeShardSummary(data)
	if err != nil {
		h.broken(rev, "page %s can't be read: %v", id, err)
		return
	}
	h.pages[id] = page
	for _, m := range page.Machines {
		touched[m] = true
		if h.on[m] == nil {
			h.on[m] = map[storage.ShardID]bool{}
		}
		h.on[m][id] = true
	}
}

// checkMachine checks who owns a machine behind a revision.
func (h *History) checkMachine(rev protocol.Revision, id protocol.MachineID) {
	if len(h.on[id]) > 1 {
		h.broken(rev, "machine %s is on %d pages", id, len(h.on[id]))
		return
	}
	for page := range h.on[id] {
		now, last := h.pages[page], h.tenure[id]
		switch {
		case now.Owner != last.Owner && h.living[storage.ControllerKey(now.Owner.Controller())] != now.Owner:
			h.broken(rev, "machine %s goes to %s, which has ended", id, now.Owner)
		case last.Owner == "":
		case now.Owner != last.Owner && now.Epoch <= last.Epoch:
			h.broken(rev, "machine %s goes from %s to %s without a higher token: %d, %d", id, last.Owner, now.Owner, last.Epoch, now.Epoch)
		case now.Epoch < last.Epoch:
			h.broken(rev, "the token of machine %s falls from %d to %d", id, last.Epoch, now.Epoch)
		}
		h.tenure[id] = storage.ShardSummary{Owner: now.Owner, Epoch: now.Epoch}
		at := tenure{id, now.Epoch}
		if other, known := h.owners[at]; known && other != now.Owner {
			h.broken(rev, "machine %s has two owners in epoch %d: %s, %s", id, now.Epoch, other, now.Owner)
		}
		h.owners[at] = now.Owner
	}
}

// Commanded checks that who commands a machine under a token has owned it in that epoch.
func (h *History) Commanded(id protocol.MachineID, token protocol.FencingToken, by protocol.ControllerID) {
	epoch := storage.ShardEpochOf(token)
	if owner := h.owners[tenure{id, epoch}]; owner.Controller() != by {
		h.Broken(fmt.Sprintf("machine %s takes commands of %s in epoch %d, which is %q's", id, by, epoch, owner))
	}
}

// setMove takes in a move's record, and checks the order of its phases.
func (h *History) setMove(rev protocol.Revision, key string, data json.RawMessage) (record storage.TransferRecord, ok bool) {
	h.Puts++
	if err := json.Unmarshal(data, &record); err != nil {
		h.broken(rev, "move %s can't be read: %v", key, err)
		return record, false
	}
	last, known := h.moves[key]
	if !known {
		last.Phase = storage.TransferClosed
	}
	h.moves[key] = record
	if !record.Phase.CanFollow(last.Phase) || record.Name != last.Name && last.Phase.IsOpen() {
		h.broken(rev, "move %s %q goes from %s to %s", key, record.Name, last.Phase, record.Phase)
	}
	switch record.Phase {
	case storage.TransferClosed:
		h.Closed++
		h.Took = append(h.Took, time.Duration(record.EndedAt-record.ProposedAt)*time.Millisecond)
		held := time.Duration(0) // one that was taken over as proposed never came to rest
		if record.PreparedAt > 0 {
			held = time.Duration(record.CommittedAt-record.PreparedAt) * time.Millisecond
		}
		h.Held = append(h.Held, held)
		h.Machines += record.MachineCount
		h.Idle += time.Duration(record.MachineCount) * held
	case storage.TransferAborted:
		h.Aborted[record.Reason]++
	}
	return record, true
}

// checkTransfer checks that a move and its page change together.
func (h *History) checkTransfer(rev protocol.Revision, record storage.TransferRecord, before map[storage.ShardID]storage.ShardSummary) {
	if record.Phase != storage.TransferCommitted {
		return
	}
	old, changed := before[record.Shard]
	if !changed || old.Owner != record.Source || h.pages[record.Shard].Owner != record.Target {
		h.broken(rev, "move %q is transferred, its page went from %q to %q", record.Name, old.Owner, h.pages[record.Shard].Owner)
		return
	}
	for _, m := range old.Machines {
		if len(h.on[m]) == 0 {
			h.broken(rev, "machine %s left the records with move %q", m, record.Name)
		}
	}
	h.Passed++
}

// OwnedBy counts the machines of a controller.
func (w *World) OwnedBy(n *Node) (machines int) {
	for _, page := range w.History.pages {
		if page.Owner.Controller() == n.Member {
			machines += len(page.Machines)
		}
	}
	return machines
}

// Open lists the moves that are not at their end.
func (h *History) Open() (names []string) {
	for _, record := range h.moves {
		if record.Phase.IsOpen() {
			names = append(names, fmt.Sprintf("%s %s %s", record.Name, record.Shard, record.Phase))
		}
	}
	return names
}
