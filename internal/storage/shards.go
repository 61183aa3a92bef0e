package storage

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"tillerarch/internal/protocol"
)

// ShardID names a page: "stall-0#7-3".
type ShardID string

// ShardEpoch counts the owners of a page. It is the high part of the tokens of all its
// machines, so that one change of the page fences off all earlier owners.
type ShardEpoch uint64

// The low part of a token is the machine's own: a worker reports at once when
// its token rises, so a machine that is to start something soon gets a higher one.
const tokenCounterBits = 20

// MaxTokenCounter is the most that the low part holds.
const MaxTokenCounter = 1<<tokenCounterBits - 1

// FencingToken is the token of a machine in this epoch.
func (e ShardEpoch) FencingToken(counter uint64) protocol.FencingToken {
	return protocol.FencingToken(uint64(e)<<tokenCounterBits | counter)
}

// ShardEpochOf is the epoch that a token belongs to.
func ShardEpochOf(token protocol.FencingToken) ShardEpoch {
	return ShardEpoch(token >> tokenCounterBits)
}

// Machines are kept on pages, many to a key: where a thousand of them stand
// against 40 changes a second, a change for each would be the whole budget.
// One run owns all machines of a page, under one token, so that a takeover is
// one change however many machines there are.
type encodedShard struct {
	Owner    Incarnation `json:"o"`
	Epoch    ShardEpoch  `json:"b"`
	Machines []string    `json:"m"` // a line each, see Line
	// Tasks that are done and that their jobs' records do not have yet: while
	// an array runs, its own record need not be written with every page.
	CompletedTasks map[protocol.JobID]TaskSet `json:"d,omitempty"`
}

// packedShard is a page in the packed encoding. Its machines are a string where the
// plain form has a list, so that a version which knows the plain form only reports an
// unreadable record instead of a page without machines.
type packedShard struct {
	Owner  Incarnation `json:"o"`
	Epoch  ShardEpoch  `json:"b"`
	Packed string      `json:"m"`
}

// EncodePlainShard gives a page's plain written form.
func EncodePlainShard(owner Incarnation, epoch ShardEpoch, lines []string, completed map[protocol.JobID]TaskSet) json.RawMessage {
	return MustMarshal(encodedShard{owner, epoch, lines, completed})
}

// EncodeShard gives a page's written form in a format.
func EncodeShard(format Format, owner Incarnation, epoch ShardEpoch, lines []string, completed map[protocol.JobID]TaskSet) json.RawMessage {
	if format >= FormatPacked {
		return MustMarshal(packedShard{owner, epoch, packShard(lines, completed)})
	}
	return EncodePlainShard(owner, epoch, lines, completed)
}

// decodeShard reads a page in any form.
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

// EncodeLine gives a machine's written form: fields with a blank between them.
func (m *MachineRecord) EncodeLine(id protocol.MachineID) string {
	var line strings.Builder
	flags := ""
	for _, flag := range []struct {
		on   bool
		name string
	}{{m.Spot, "l"}, {m.Terminating, "r"}, {m.Cordoned, "x"}} {
		if flag.on {
			flags += flag.name
		}
	}
	agentEpoch := strconv.FormatUint(uint64(m.AgentEpoch), 10)
	if m.TokenCounter > 0 {
		agentEpoch += "+" + strconv.FormatUint(m.TokenCounter, 10)
	}
	line.WriteString(string(id))
	for _, field := range [...]string{url.QueryEscape(m.Address), url.QueryEscape(string(m.MachineType)), url.QueryEscape(string(m.Zone)),
		strconv.FormatInt(int64(m.AddedAt), 36), agentEpoch, flags} {
		line.WriteByte(' ')
		if field == "" {
			field = "-"
		}
		line.WriteString(field)
	}
	for i := range m.Assignments {
		assignment := &m.Assignments[i]
		fmt.Fprintf(&line, " %s.%d.%s", assignment.Job, assignment.Attempt, assignment.Tasks)
	}
	return line.String()
}

// parseMachineLine reads a machine's written form.
func parseMachineLine(line string) (id protocol.MachineID, m MachineRecord, err error) {
	fields := strings.Split(line, " ")
	if len(fields) < 7 {
		return "", m, fmt.Errorf("malformed machine %q", line)
	}
	var text [3]string
	for i := range text {
		if fields[1+i] != "-" && err == nil {
			text[i], err = url.QueryUnescape(fields[1+i])
		}
	}
	addedAt, sinceErr := strconv.ParseInt(fields[4], 36, 64)
	epochText, counterText, hasCounter := strings.Cut(fields[5], "+")
	agentEpoch, epochErr := strconv.ParseUint(epochText, 10, 64)
	counter := uint64(0)
	if hasCounter && epochErr == nil {
		counter, epochErr = strconv.ParseUint(counterText, 10, tokenCounterBits)
	}
	id = protocol.MachineID(fields[0])
	if err != nil || sinceErr != nil || epochErr != nil || !id.IsValid() {
		return "", m, fmt.Errorf("malformed machine %q", line)
	}
	m = MachineRecord{Address: text[0], MachineType: protocol.MachineTypeName(text[1]), Zone: protocol.Zone(text[2]), AddedAt: protocol.Millis(addedAt), AgentEpoch: protocol.AgentEpoch(agentEpoch), TokenCounter: counter,
		Spot: strings.Contains(fields[6], "l"), Terminating: strings.Contains(fields[6], "r"), Cordoned: strings.Contains(fields[6], "x")}
	for _, assignmentText := range fields[7:] {
		parts := strings.Split(assignmentText, ".")
		if len(parts) != 3 {
			return "", m, fmt.Errorf("malformed assignment %q", assignmentText)
		}
		attempt, err := strconv.ParseUint(parts[1], 10, 64)
		assignment := Assignment{Job: protocol.JobID(parts[0]), Attempt: protocol.Attempt(attempt)}
		if err != nil || !assignment.Job.IsValid() || assignment.Tasks.UnmarshalText([]byte(parts[2])) != nil || assignment.Tasks.IsZero() {
			return "", m, fmt.Errorf("malformed assignment %q", assignmentText)
		}
		m.Assignments = append(m.Assignments, assignment)
	}
	return id, m, nil
}
