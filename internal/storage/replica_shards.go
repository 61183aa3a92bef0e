package storage

import (
	"encoding/json"
	"slices"

	"tillerarch/internal/protocol"
)

// Shard is a shard of machines as the replica has it.
type Shard struct {
	Owner          Incarnation
	Epoch          ShardEpoch
	ModRevision    protocol.ModRevision
	OwnedSince     protocol.ModRevision // of the change that made Owner its owner, or a later one
	EncodedSize    int                  // bytes of its encoded form
	Format         Format               // in which it is encoded
	packedSize     int                  // bytes in the packed format; 0: not computed yet
	Machines       []protocol.MachineID // in the order of the encoded form
	CompletedTasks map[protocol.JobID]TaskSet
}

// putShard applies a shard's record to the shard, its machines and the indexes. A shard with
// one malformed machine is rejected as a whole.
func (r *Replica) putShard(id ShardID, data json.RawMessage, revision protocol.ModRevision) error {
	decoded, format, err := decodeShard(data)
	if err != nil {
		return err
	}
	shard := &Shard{
		Owner:          decoded.Owner,
		Epoch:          decoded.Epoch,
		ModRevision:    revision,
		OwnedSince:     revision,
		EncodedSize:    len(data),
		Format:         format,
		CompletedTasks: decoded.CompletedTasks,
	}
	records, err := r.parseShardMachines(shard, decoded.Machines)
	if err != nil {
		return err
	}
	old := r.Shards[id]
	if old != nil && old.Owner == shard.Owner && old.Epoch == shard.Epoch {
		shard.OwnedSince = old.OwnedSince
	}
	r.Shards[id] = shard
	r.completedIndex.replaceShard(id, old, shard)
	for i, machineID := range shard.Machines {
		if r.isOnNewerShard(machineID, id, revision) {
			continue
		}
		record := &records[i]
		record.Shard, record.Owner, record.ShardEpoch = id, shard.Owner, shard.Epoch
		record.FencingToken = shard.Epoch.FencingToken(record.TokenCounter)
		r.setMachine(machineID, record, decoded.Machines[i])
	}
	if old != nil {
		r.removeUnlisted(id, old, shard)
	}
	return nil
}

// parseShardMachines lists the shard's machines and returns their records. Machines whose
// line has not changed are not parsed again: a failover changes only owner and epoch.
func (r *Replica) parseShardMachines(shard *Shard, lines []string) ([]MachineRecord, error) {
	records := make([]MachineRecord, len(lines))
	for i, line := range lines {
		id := machineIDOfLine(line)
		if machine := r.Machines[id]; machine != nil && machine.encodedLine == line {
			records[i] = machine.Record
		} else if _, record, err := parseMachineLine(line); err != nil {
			return nil, err
		} else {
			records[i] = record
		}
		shard.Machines = append(shard.Machines, id)
	}
	return records, nil
}

// isOnNewerShard tells whether a machine has moved from a shard to another one in a change
// after the revision.
func (r *Replica) isOnNewerShard(machineID protocol.MachineID, id ShardID, revision protocol.ModRevision) bool {
	machine := r.Machines[machineID]
	if machine == nil || machine.Record.Shard == id {
		return false
	}
	current := r.Shards[machine.Record.Shard]
	return current != nil && current.ModRevision > revision
}

// deleteShard drops a shard and the machines that are on it.
func (r *Replica) deleteShard(id ShardID) {
	old := r.Shards[id]
	if old == nil {
		return
	}
	delete(r.Shards, id)
	r.completedIndex.replaceShard(id, old, nil)
	r.removeUnlisted(id, old, nil)
}

// removeUnlisted removes the machines that a shard no longer lists; current is nil if the
// shard is gone.
func (r *Replica) removeUnlisted(id ShardID, old, current *Shard) {
	for _, machineID := range old.Machines {
		machine := r.Machines[machineID]
		if machine == nil || machine.Record.Shard != id {
			continue
		}
		if current != nil && slices.Contains(current.Machines, machineID) {
			continue
		}
		r.setMachine(machineID, nil, "")
		r.machineIndex.removed = append(r.machineIndex.removed, machineID)
	}
}

// PackedShardSize is the size in bytes of a shard in the packed format.
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
