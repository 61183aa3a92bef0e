package storage

import (
	"encoding/json"

	"tillerarch/internal/protocol"
)

// ShardID names a shard of machines: "stall-0#7-3".
type ShardID string

// ShardEpoch counts the owners of a shard. It is the high part of the fencing tokens of all
// its machines, so that one write to the shard fences off all earlier owners.
type ShardEpoch uint64

// tokenCounterBits is the width of a fencing token's low part, which is the machine's own. An
// agent sends a heartbeat at once when its token rises, so the owner raises the counter of a
// machine on which it wants to start something soon.
const tokenCounterBits = 20

// MaxTokenCounter is the largest counter that the low part holds.
const MaxTokenCounter = 1<<tokenCounterBits - 1

// FencingToken is the fencing token of a machine in this epoch.
func (e ShardEpoch) FencingToken(counter uint64) protocol.FencingToken {
	return protocol.FencingToken(uint64(e)<<tokenCounterBits | counter)
}

// ShardEpochOf is the epoch that a token belongs to.
func ShardEpochOf(token protocol.FencingToken) ShardEpoch {
	return ShardEpoch(token >> tokenCounterBits)
}

// encodedShard is the value of a ShardKey in the plain format. Many machines share one key:
// the store takes some 40 writes a second, and with a key for each of a thousand machines,
// one change to each would use up that budget. One incarnation owns all machines of a shard
// in one epoch, so a failover is one write however many machines there are.
type encodedShard struct {
	Owner    Incarnation `json:"o"`
	Epoch    ShardEpoch  `json:"b"`
	Machines []string    `json:"m"` // lines of MachineRecord.EncodeLine

	// CompletedTasks are those that the records of their jobs do not list yet: while an array
	// runs, its own record need not be written with every shard.
	CompletedTasks map[protocol.JobID]TaskSet `json:"d,omitempty"`
}

// packedShard is the value of a ShardKey in the packed format. Its machines are a string where
// the plain form has a list, so that a version which knows the plain form only reports an
// unreadable record instead of a shard without machines.
type packedShard struct {
	Owner  Incarnation `json:"o"`
	Epoch  ShardEpoch  `json:"b"`
	Packed string      `json:"m"`
}

// EncodePlainShard encodes a shard's record in the plain format.
func EncodePlainShard(
	owner Incarnation,
	epoch ShardEpoch,
	lines []string,
	completed map[protocol.JobID]TaskSet,
) json.RawMessage {
	return MustMarshal(encodedShard{owner, epoch, lines, completed})
}

// EncodeShard encodes a shard's record in a format.
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

// decodeShard reads a shard's record in any format.
func decodeShard(data json.RawMessage) (shard encodedShard, format Format, err error) {
	var decoded struct {
		encodedShard
		Machines json.RawMessage `json:"m"`
	}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return shard, FormatPlain, err
	}
	shard = decoded.encodedShard
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

// ShardSummary is a shard's owner, epoch and machines.
type ShardSummary struct {
	Owner    Incarnation
	Epoch    ShardEpoch
	Machines []protocol.MachineID
}

// DecodeShardSummary reads who owns which machines from a shard's record in any format.
func DecodeShardSummary(data json.RawMessage) (ShardSummary, error) {
	encoded, _, err := decodeShard(data)
	if err != nil {
		return ShardSummary{}, err
	}
	summary := ShardSummary{Owner: encoded.Owner, Epoch: encoded.Epoch}
	for _, line := range encoded.Machines {
		summary.Machines = append(summary.Machines, machineIDOfLine(line))
	}
	return summary, nil
}
