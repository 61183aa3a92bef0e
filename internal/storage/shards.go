package storage

import (
	"encoding/json"

	"tillerarch/internal/protocol"
)

// ShardID is the name of a shard of machines, such as "stall-0#7-3".
type ShardID string

// ShardEpoch counts the owners of a shard. The epoch is the high part of the fencing tokens of
// all machines of the shard, so that one write to the shard fences off all earlier owners.
type ShardEpoch uint64

// tokenCounterBits is the width in bits of the low part of a fencing token, which is a counter
// of the machine. An agent sends a heartbeat at once when its token rises, so the owner raises
// the counter of a machine on which it wants to start a task soon.
const tokenCounterBits = 20

// MaxTokenCounter is the largest counter that fits the low part of a fencing token.
const MaxTokenCounter = 1<<tokenCounterBits - 1

// FencingToken returns the fencing token of a machine with the given counter in this epoch.
func (e ShardEpoch) FencingToken(counter uint64) protocol.FencingToken {
	return protocol.FencingToken(uint64(e)<<tokenCounterBits | counter)
}

// ShardEpochOf returns the epoch of a fencing token.
func ShardEpochOf(token protocol.FencingToken) ShardEpoch {
	return ShardEpoch(token >> tokenCounterBits)
}

// encodedShard is the value of a ShardKey in the plain format. Many machines share one key
// because the store accepts only some 40 writes a second. With a key for each of a thousand
// machines, one change to each machine would use up that budget. One incarnation owns all
// machines of a shard in one epoch, so that a failover is one write whatever the number of
// machines.
type encodedShard struct {
	Owner    Incarnation `json:"o"`
	Epoch    ShardEpoch  `json:"b"`
	Machines []string    `json:"m"` // lines of MachineRecord.EncodeLine

	// CompletedTasks holds the completed tasks that are not yet in the records of their jobs,
	// so that the record of a running array need not be written with every shard.
	CompletedTasks map[protocol.JobID]TaskSet `json:"d,omitempty"`

	parts     []PartHash // of a shard in parts; otherwise nil
	partBytes int        // total size of the texts of the parts
}

// packedShard is the value of a ShardKey in the packed format. Its field "m" is a string where
// the plain format has a list. A version that knows only the plain format therefore reports an
// unreadable record instead of reading a shard without machines.
type packedShard struct {
	Owner  Incarnation `json:"o"`
	Epoch  ShardEpoch  `json:"b"`
	Packed string      `json:"m"` // result of packShard
}

// EncodePlainShard encodes a shard's record in the plain format. The lines are those that
// MachineRecord.EncodeLine returns for the machines of the shard.
func EncodePlainShard(
	owner Incarnation,
	epoch ShardEpoch,
	lines []string,
	completed map[protocol.JobID]TaskSet,
) json.RawMessage {
	return MustMarshal(encodedShard{Owner: owner, Epoch: epoch, Machines: lines, CompletedTasks: completed})
}

// EncodeShard encodes a shard's record in the given format. The lines are those that
// MachineRecord.EncodeLine returns for the machines of the shard.
func EncodeShard(
	format Format,
	owner Incarnation,
	epoch ShardEpoch,
	lines []string,
	completed map[protocol.JobID]TaskSet,
) json.RawMessage {
	if format >= FormatPacked {
		return MustMarshal(packedShard{owner, epoch, packShard(lines, completed)})
	}
	return EncodePlainShard(owner, epoch, lines, completed)
}

// decodeShard decodes a shard's record in any format and returns that format. lookup returns the
// parts of a record in FormatParts.
func decodeShard(id ShardID, data json.RawMessage, lookup PartLookup) (shard encodedShard, format Format, err error) {
	var decoded struct {
		encodedShard
		Machines json.RawMessage `json:"m"`
		Parts    []PartHash      `json:"y"`
	}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return shard, FormatPlain, err
	}
	shard = decoded.encodedShard
	if len(decoded.Parts) > 0 {
		packed, err := joinParts(ShardKey(id), decoded.Parts, lookup)
		if err != nil {
			return shard, FormatParts, err
		}
		shard.parts, shard.partBytes = decoded.Parts, len(packed)
		shard.Machines, shard.CompletedTasks, err = unpackShard(packed)
		return shard, FormatParts, err
	}
	if len(decoded.Machines) > 0 && decoded.Machines[0] == '"' {
		var packed string
		if err := json.Unmarshal(decoded.Machines, &packed); err != nil {
			return shard, FormatPacked, err
		}
		shard.Machines, shard.CompletedTasks, err = unpackShard(packed)
		return shard, FormatPacked, err
	}
	if len(decoded.Machines) > 0 {
		err = json.Unmarshal(decoded.Machines, &shard.Machines)
	}
	return shard, FormatPlain, err
}

// ShardSummary holds the owner, epoch and machines of a shard.
type ShardSummary struct {
	Owner    Incarnation
	Epoch    ShardEpoch
	Machines []protocol.MachineID
}

// DecodeShardSummary decodes the owner, epoch and machines from a shard's record in any format.
func DecodeShardSummary(id ShardID, data json.RawMessage, lookup PartLookup) (ShardSummary, error) {
	shard, _, err := decodeShard(id, data, lookup)
	if err != nil {
		return ShardSummary{}, err
	}
	summary := ShardSummary{Owner: shard.Owner, Epoch: shard.Epoch}
	for _, line := range shard.Machines {
		summary.Machines = append(summary.Machines, machineIDOfLine(line))
	}
	return summary, nil
}
