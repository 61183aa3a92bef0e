package storage

import (
	"encoding/json"
	"slices"

	"tillerarch/internal/protocol"
)

// Shard is a shard of machines in the replica.
type Shard struct {
	Owner          Incarnation
	Epoch          ShardEpoch
	ModRevision    protocol.ModRevision
	OwnedSince     protocol.ModRevision // revision of the change that made Owner the owner, or of a later change
	EncodedSize    int                  // size of the encoded record in bytes, including its parts
	Format         Format               // format of the encoded record
	Parts          []PartHash           // of a record that does not fit one value; otherwise nil
	packedSize     int                  // size in bytes in the packed format, or 0 if not computed yet
	Machines       []protocol.MachineID // in the order of the encoded record
	CompletedTasks map[protocol.JobID]TaskSet
}

// putShard applies a shard's record to the shard, its machines and the indexes. It rejects the
// whole record if the line of one machine is malformed.
func (r *Replica) putShard(shardID ShardID, data json.RawMessage, revision protocol.ModRevision) error {
	decoded, format, err := decodeShard(shardID, data, r.partText)
	if err != nil {
		return err
	}
	shard := &Shard{
		Owner:          decoded.Owner,
		Epoch:          decoded.Epoch,
		ModRevision:    revision,
		OwnedSince:     revision,
		EncodedSize:    len(data) + decoded.partBytes,
		Format:         format,
		Parts:          decoded.parts,
		CompletedTasks: decoded.CompletedTasks,
	}
	records, err := r.parseShardMachines(shard, decoded.Machines)
	if err != nil {
		return err
	}
	previous := r.Shards[shardID]
	if previous != nil && previous.Owner == shard.Owner && previous.Epoch == shard.Epoch {
		shard.OwnedSince = previous.OwnedSince
	}
	r.Shards[shardID] = shard
	r.completedTaskIndex.replaceShard(shardID, previous, shard)
	for i, machineID := range shard.Machines {
		if r.isOnNewerShard(machineID, shardID, revision) {
			continue
		}
		record := &records[i]
		record.Shard, record.Owner, record.ShardEpoch = shardID, shard.Owner, shard.Epoch
		record.FencingToken = shard.Epoch.FencingToken(record.TokenCounter)
		r.setMachine(machineID, record, decoded.Machines[i])
	}
	if previous != nil {
		r.removeUnlistedMachines(shardID, previous, shard)
	}
	return nil
}

// parseShardMachines sets shard.Machines from the lines and returns the records of the machines.
// It does not parse unchanged lines again, because a failover changes only owner and epoch.
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

// isOnNewerShard reports whether a machine is on a shard other than the given one, and that
// other shard has changed after the given revision.
func (r *Replica) isOnNewerShard(machineID protocol.MachineID, shardID ShardID, revision protocol.ModRevision) bool {
	machine := r.Machines[machineID]
	if machine == nil || machine.Record.Shard == shardID {
		return false
	}
	current := r.Shards[machine.Record.Shard]
	return current != nil && current.ModRevision > revision
}

// deleteShard removes a shard and its machines from the replica.
func (r *Replica) deleteShard(id ShardID) {
	previous := r.Shards[id]
	if previous == nil {
		return
	}
	delete(r.Shards, id)
	r.completedTaskIndex.replaceShard(id, previous, nil)
	r.removeUnlistedMachines(id, previous, nil)
}

// removeUnlistedMachines removes the machines that the previous version of a shard lists and the
// current version does not. current is nil if the shard has been deleted.
func (r *Replica) removeUnlistedMachines(shardID ShardID, previous, current *Shard) {
	for _, machineID := range previous.Machines {
		machine := r.Machines[machineID]
		if machine == nil || machine.Record.Shard != shardID {
			continue
		}
		if current != nil && slices.Contains(current.Machines, machineID) {
			continue
		}
		r.setMachine(machineID, nil, "")
		r.machineIndex.removedMachines = append(r.machineIndex.removedMachines, machineID)
	}
}

// PackedShardSize returns the size in bytes of a shard's record in the packed format.
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
