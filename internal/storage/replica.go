package storage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tillerarch/internal/protocol"
)

// Versioned is a record with its stamp.
type Versioned[T any] struct {
	Record      T
	ModRevision protocol.ModRevision
	EncodedSize int // of its written form
}

// Machine is a machine's record as the replica has it.
type Machine struct {
	ID          protocol.MachineID
	Record      MachineRecord
	encodedLine string // its written form: a machine whose line stays is not read again
}

// Shard is a page of machines as the replica has it.
type Shard struct {
	Owner          Incarnation
	Epoch          ShardEpoch
	ModRevision    protocol.ModRevision
	OwnedSince     protocol.ModRevision // of the change that made Owner its owner, or a later one
	EncodedSize    int
	Format         Format               // in which it is written
	packedSize     int                  // what it takes in the packed format, once that was asked for
	Machines       []protocol.MachineID // as written
	CompletedTasks map[protocol.JobID]TaskSet
}

// Replica is a copy of all records, complete up to Rev; own writes may be newer.
// What is asked often is kept as an index: nothing here walks the whole fleet
// for one job or one machine.
type Replica struct {
	Revision         protocol.Revision
	Jobs             map[protocol.JobID]*Versioned[JobRecord]
	Shards           map[ShardID]*Shard
	Machines         map[protocol.MachineID]*Machine
	Controllers      map[protocol.ControllerID]*Versioned[ControllerRecord]
	QuotaRevisions   map[string]protocol.ModRevision
	Transfers        map[TransferSlot]*Versioned[TransferRecord]
	Drains           map[protocol.ControllerID]*Versioned[DrainRecord]
	RegistryRevision protocol.ModRevision                     // of RegistryKey
	Format           Versioned[FormatRecord]                  // of FormatKey
	UnfinishedJobs   map[protocol.JobID]*Versioned[JobRecord] // the jobs that are neither done nor withdrawn
	CancellingJobs   map[protocol.JobID]*Versioned[JobRecord] // those of them that are called off

	// OnMachineChange is called for each machine whose record has changed; before or
	// after may be nil. May be nil itself.
	OnMachineChange func(id protocol.MachineID, before, after *MachineRecord)

	shardsWithCompleted map[protocol.JobID]map[ShardID]bool // pages that have done tasks of a job
	completedByJob      map[protocol.JobID]TaskSet          // what Done has found, until it changes

	machinesByJob   map[protocol.JobID]map[protocol.MachineID]bool // where a job has assignments
	sortedMachines  []*Machine                                     // all machines in order; nil: to be made anew
	removedMachines []protocol.MachineID
	tombstones      map[string]protocol.ModRevision // deleted keys, for changes that come late
}

// NewReplica makes an empty replica.
func NewReplica() *Replica {
	return &Replica{
		Jobs:                map[protocol.JobID]*Versioned[JobRecord]{},
		UnfinishedJobs:      map[protocol.JobID]*Versioned[JobRecord]{},
		CancellingJobs:      map[protocol.JobID]*Versioned[JobRecord]{},
		Shards:              map[ShardID]*Shard{},
		Machines:            map[protocol.MachineID]*Machine{},
		Controllers:         map[protocol.ControllerID]*Versioned[ControllerRecord]{},
		QuotaRevisions:      map[string]protocol.ModRevision{},
		Transfers:           map[TransferSlot]*Versioned[TransferRecord]{},
		Drains:              map[protocol.ControllerID]*Versioned[DrainRecord]{},
		machinesByJob:       map[protocol.JobID]map[protocol.MachineID]bool{},
		tombstones:          map[string]protocol.ModRevision{},
		shardsWithCompleted: map[protocol.JobID]map[ShardID]bool{},
		completedByJob:      map[protocol.JobID]TaskSet{},
	}
}

// ModRevision is the stamp of a key as far as the replica knows: 0 for none.
func (r *Replica) ModRevision(key string) protocol.ModRevision {
	switch {
	case strings.HasPrefix(key, jobPrefix):
		return modRevisionOf(r.Jobs, protocol.JobID(key[len(jobPrefix):]))
	case strings.HasPrefix(key, shardPrefix):
		if shard := r.Shards[ShardID(key[len(shardPrefix):])]; shard != nil {
			return shard.ModRevision
		}
	case strings.HasPrefix(key, controllerPrefix):
		return modRevisionOf(r.Controllers, protocol.ControllerID(key[len(controllerPrefix):]))
	case strings.HasPrefix(key, quotaPrefix):
		return r.QuotaRevisions[key[len(quotaPrefix):]]
	case strings.HasPrefix(key, transferPrefix):
		return modRevisionOf(r.Transfers, TransferSlot(key[len(transferPrefix):]))
	case strings.HasPrefix(key, drainPrefix):
		return modRevisionOf(r.Drains, protocol.ControllerID(key[len(drainPrefix):]))
	case key == RegistryKey:
		return r.RegistryRevision
	case key == FormatKey:
		return r.Format.ModRevision
	}
	return 0
}

func modRevisionOf[K comparable, T any](records map[K]*Versioned[T], key K) protocol.ModRevision {
	if entry := records[key]; entry != nil {
		return entry.ModRevision
	}
	return 0
}

// decodeJSON reads a record that is written in plain JSON in every format.
func decodeJSON[T any](data json.RawMessage) (record T, err error) {
	err = json.Unmarshal(data, &record)
	return record, err
}

func putRecord[K comparable, T any](records map[K]*Versioned[T], key K, data json.RawMessage, revision protocol.ModRevision, decode func(json.RawMessage) (T, error)) error {
	record, err := decode(data)
	if err != nil {
		return err
	}
	records[key] = &Versioned[T]{Record: record, ModRevision: revision, EncodedSize: len(data)}
	return nil
}

// Put takes in a key's value unless the replica has a newer one. fresh tells
// whether it did.
func (r *Replica) Put(key string, data json.RawMessage, revision protocol.ModRevision) (applied bool, err error) {
	if revision <= r.ModRevision(key) || revision <= r.tombstones[key] {
		return false, nil
	}
	delete(r.tombstones, key)
	switch {
	case strings.HasPrefix(key, jobPrefix):
		id := protocol.JobID(key[len(jobPrefix):])
		delete(r.completedByJob, id)
		if err = putRecord(r.Jobs, id, data, revision, decodeJob); err == nil {
			entry := r.Jobs[id]
			delete(r.CancellingJobs, id)
			if entry.Record.State.IsTerminal() || entry.Record.Spec == nil {
				delete(r.UnfinishedJobs, id)
			} else if r.UnfinishedJobs[id] = entry; entry.Record.CancelRequested {
				r.CancellingJobs[id] = entry
			}
		}
	case strings.HasPrefix(key, shardPrefix):
		err = r.putShard(ShardID(key[len(shardPrefix):]), data, revision)
	case strings.HasPrefix(key, controllerPrefix):
		err = putRecord(r.Controllers, protocol.ControllerID(key[len(controllerPrefix):]), data, revision, decodeJSON)
	case strings.HasPrefix(key, quotaPrefix):
		r.QuotaRevisions[key[len(quotaPrefix):]] = revision
	case strings.HasPrefix(key, transferPrefix):
		err = putRecord(r.Transfers, TransferSlot(key[len(transferPrefix):]), data, revision, decodeTransfer)
	case strings.HasPrefix(key, drainPrefix):
		err = putRecord(r.Drains, protocol.ControllerID(key[len(drainPrefix):]), data, revision, decodeJSON)
	case key == RegistryKey:
		r.RegistryRevision = revision
	case key == FormatKey:
		var record FormatRecord
		if err = json.Unmarshal(data, &record); err == nil {
			r.Format = Versioned[FormatRecord]{Record: record, ModRevision: revision, EncodedSize: len(data)}
		}
	}
	if err != nil {
		return false, fmt.Errorf("record %s: %w", key, err)
	}
	return true, nil
}

func (r *Replica) putShard(id ShardID, data json.RawMessage, revision protocol.ModRevision) error {
	decoded, format, err := decodeShard(data)
	if err != nil {
		return err
	}
	shard := &Shard{Owner: decoded.Owner, Epoch: decoded.Epoch, ModRevision: revision, EncodedSize: len(data), Format: format}
	records := make([]MachineRecord, len(decoded.Machines))
	for i, line := range decoded.Machines {
		machineID, _, _ := strings.Cut(line, " ")
		if machine := r.Machines[protocol.MachineID(machineID)]; machine != nil && machine.encodedLine == line {
			records[i] = machine.Record
		} else if _, record, err := parseMachineLine(line); err != nil {
			return err // the page is not trusted as a whole
		} else {
			records[i] = record
		}
		shard.Machines = append(shard.Machines, protocol.MachineID(machineID))
	}
	old := r.Shards[id]
	if shard.OwnedSince = revision; old != nil && old.Owner == shard.Owner && old.Epoch == shard.Epoch {
		shard.OwnedSince = old.OwnedSince
	}
	r.Shards[id] = shard
	shard.CompletedTasks = decoded.CompletedTasks
	r.indexCompletedTasks(id, old, shard)
	for i, machineID := range shard.Machines {
		machine := r.Machines[machineID]
		if machine != nil && machine.Record.Shard != id && r.Shards[machine.Record.Shard] != nil && r.Shards[machine.Record.Shard].ModRevision > revision {
			continue // it has moved to another page since
		}
		record := records[i]
		record.Shard, record.Owner, record.ShardEpoch, record.FencingToken = id, shard.Owner, shard.Epoch, shard.Epoch.FencingToken(record.TokenCounter)
		r.setMachine(machineID, &record, decoded.Machines[i])
	}
	if old != nil {
		r.removeUnlisted(id, old, shard)
	}
	return nil
}

// PackedShardSize is what a page takes in the packed format.
func (r *Replica) PackedShardSize(id ShardID) int {
	shard := r.Shards[id]
	if shard.Format >= FormatPacked {
		return shard.EncodedSize
	}
	if shard.packedSize == 0 {
		lines := make([]string, len(shard.Machines))
		for i, machineID := range shard.Machines {
			lines[i] = r.EncodedLine(machineID)
		}
		shard.packedSize = len(EncodeShard(FormatPacked, shard.Owner, shard.Epoch, lines, shard.CompletedTasks))
	}
	return shard.packedSize
}

// indexCompletedTasks keeps the index of what pages know to be done.
func (r *Replica) indexCompletedTasks(id ShardID, old, current *Shard) {
	if old != nil {
		for job := range old.CompletedTasks {
			delete(r.completedByJob, job)
			if delete(r.shardsWithCompleted[job], id); len(r.shardsWithCompleted[job]) == 0 {
				delete(r.shardsWithCompleted, job)
			}
		}
	}
	if current == nil {
		return
	}
	for job := range current.CompletedTasks {
		delete(r.completedByJob, job)
		if r.shardsWithCompleted[job] == nil {
			r.shardsWithCompleted[job] = map[ShardID]bool{}
		}
		r.shardsWithCompleted[job][id] = true
	}
}

// CompletedTasks gives the tasks of a job that are done: those in its own record, and
// those that are on pages only.
func (r *Replica) CompletedTasks(id protocol.JobID) TaskSet {
	if tasks, ok := r.completedByJob[id]; ok {
		return tasks
	}
	var tasks TaskSet
	if entry := r.Jobs[id]; entry != nil {
		if spec := entry.Record.Spec; spec != nil && spec.IsService() {
			return tasks // no replica is ever done, whatever an earlier version has noted
		}
		tasks = entry.Record.CompletedTasks
	}
	for shard := range r.shardsWithCompleted[id] {
		tasks = tasks.Union(r.Shards[shard].CompletedTasks[id])
	}
	r.completedByJob[id] = tasks
	return tasks
}

// removeUnlisted takes out the machines that a page no longer has.
func (r *Replica) removeUnlisted(id ShardID, old, current *Shard) {
	for _, machineID := range old.Machines {
		if machine := r.Machines[machineID]; machine != nil && machine.Record.Shard == id && (current == nil || !slices.Contains(current.Machines, machineID)) {
			r.setMachine(machineID, nil, "")
			r.removedMachines = append(r.removedMachines, machineID)
		}
	}
}

// setMachine changes a machine's record and the indexes that rest on it.
func (r *Replica) setMachine(id protocol.MachineID, record *MachineRecord, line string) {
	machine := r.Machines[id]
	unchanged := machine != nil && record != nil && machine.encodedLine == line
	if !unchanged {
		if machine != nil {
			for i := range machine.Record.Assignments {
				job := machine.Record.Assignments[i].Job
				if delete(r.machinesByJob[job], id); len(r.machinesByJob[job]) == 0 {
					delete(r.machinesByJob, job)
				}
			}
		}
		if record != nil {
			for i := range record.Assignments {
				job := record.Assignments[i].Job
				if r.machinesByJob[job] == nil {
					r.machinesByJob[job] = map[protocol.MachineID]bool{}
				}
				r.machinesByJob[job][id] = true
			}
		}
		if r.OnMachineChange != nil {
			var before *MachineRecord
			if machine != nil {
				before = &machine.Record
			}
			r.OnMachineChange(id, before, record)
		}
	}
	switch {
	case record == nil:
		delete(r.Machines, id)
		r.sortedMachines = nil
	case machine == nil:
		r.Machines[id] = &Machine{id, *record, line}
		r.sortedMachines = nil
	default:
		machine.Record, machine.encodedLine = *record, line
	}
}

// Delete takes in a key's removal.
func (r *Replica) Delete(key string, revision protocol.ModRevision) {
	if revision <= r.ModRevision(key) {
		return
	}
	if shard, ok := strings.CutPrefix(key, shardPrefix); ok {
		if len(r.tombstones) > 5000 {
			r.tombstones = map[string]protocol.ModRevision{}
		}
		r.tombstones[key] = revision
		if old := r.Shards[ShardID(shard)]; old != nil {
			delete(r.Shards, ShardID(shard))
			r.indexCompletedTasks(ShardID(shard), old, nil)
			r.removeUnlisted(ShardID(shard), old, nil)
		}
	} else if strings.HasPrefix(key, controllerPrefix) {
		delete(r.Controllers, protocol.ControllerID(key[len(controllerPrefix):]))
	} else if strings.HasPrefix(key, transferPrefix) {
		delete(r.Transfers, TransferSlot(key[len(transferPrefix):]))
	} else if strings.HasPrefix(key, drainPrefix) {
		delete(r.Drains, protocol.ControllerID(key[len(drainPrefix):]))
	} else if strings.HasPrefix(key, jobPrefix) {
		delete(r.Jobs, protocol.JobID(key[len(jobPrefix):]))
		delete(r.UnfinishedJobs, protocol.JobID(key[len(jobPrefix):]))
		delete(r.CancellingJobs, protocol.JobID(key[len(jobPrefix):]))
	}
}

// PopRemovedMachines lists, once, the machines that have left the records. It is asked when
// all changes of a transaction are in: a machine that only moves from one page
// to another has not left.
func (r *Replica) PopRemovedMachines() []protocol.MachineID {
	out := slices.DeleteFunc(r.removedMachines, func(id protocol.MachineID) bool { return r.Machines[id] != nil })
	r.removedMachines = nil
	return out
}

// SortedMachines gives all machines in the order of their names. It is not to be changed.
func (r *Replica) SortedMachines() []*Machine {
	if r.sortedMachines == nil {
		r.sortedMachines = slices.SortedFunc(maps.Values(r.Machines), func(a, z *Machine) int { return strings.Compare(string(a.ID), string(z.ID)) })
	}
	return r.sortedMachines
}

// EncodedLine is a machine's written form as it is on record.
func (r *Replica) EncodedLine(id protocol.MachineID) string {
	if machine := r.Machines[id]; machine != nil {
		return machine.encodedLine
	}
	return ""
}

// MachinesWithJob gives the machines on which a job has assignments.
func (r *Replica) MachinesWithJob(job protocol.JobID) map[protocol.MachineID]bool {
	return r.machinesByJob[job]
}

// IsAlive tells whether a run is the living one of its member.
func (r *Replica) IsAlive(incarnation Incarnation) bool {
	entry := r.Controllers[incarnation.Controller()]
	return incarnation != "" && entry != nil && entry.Record.Incarnation == incarnation
}
