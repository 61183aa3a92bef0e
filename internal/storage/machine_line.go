package storage

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"tillerarch/internal/protocol"
)

// A machine's line has its fields with a blank between them:
//
//	ID address type zone added-at epoch[+counter] flags [job.attempt.tasks]...
//
// An empty field is a dash. Address, type and zone are query-escaped; the time is in
// milliseconds, base 36.
const (
	lineFields          = 7 // before the assignments
	emptyField          = "-"
	addedAtBase         = 36
	assignmentSeparator = "."
	counterSeparator    = "+"
)

// Flags of a machine's line.
const (
	spotFlag        = "l"
	terminatingFlag = "r"
	cordonedFlag    = "x"
)

// errMalformedLine is the cause of every failure to read a machine's line.
var errMalformedLine = errors.New("malformed machine line")

// EncodeLine encodes the record as a line of its shard's record.
func (m *MachineRecord) EncodeLine(id protocol.MachineID) string {
	agentEpoch := strconv.FormatUint(uint64(m.AgentEpoch), 10)
	if m.TokenCounter > 0 {
		agentEpoch += counterSeparator + strconv.FormatUint(m.TokenCounter, 10)
	}
	var line strings.Builder
	line.WriteString(string(id))
	for _, field := range [...]string{
		url.QueryEscape(m.Address),
		url.QueryEscape(string(m.MachineType)),
		url.QueryEscape(string(m.Zone)),
		strconv.FormatInt(int64(m.AddedAt), addedAtBase),
		agentEpoch,
		m.lineFlags(),
	} {
		line.WriteByte(' ')
		if field == "" {
			field = emptyField
		}
		line.WriteString(field)
	}
	for i := range m.Assignments {
		assignment := &m.Assignments[i]
		fmt.Fprintf(&line, " %s.%d.%s", assignment.Job, assignment.Attempt, assignment.Tasks)
	}
	return line.String()
}

// lineFlags is the flags field of the machine's line.
func (m *MachineRecord) lineFlags() string {
	flags := ""
	if m.Spot {
		flags += spotFlag
	}
	if m.Terminating {
		flags += terminatingFlag
	}
	if m.Cordoned {
		flags += cordonedFlag
	}
	return flags
}

// machineIDOfLine is the identifier at the start of a machine's line.
func machineIDOfLine(line string) protocol.MachineID {
	id, _, _ := strings.Cut(line, " ")
	return protocol.MachineID(id)
}

// parseMachineLine reads what EncodeLine wrote.
func parseMachineLine(line string) (id protocol.MachineID, m MachineRecord, err error) {
	fields := strings.Split(line, " ")
	if len(fields) < lineFields {
		return "", m, fmt.Errorf("%w %q: %d fields", errMalformedLine, line, len(fields))
	}
	id = protocol.MachineID(fields[0])
	if !id.IsValid() {
		return "", m, fmt.Errorf("%w %q: machine ID", errMalformedLine, line)
	}
	var names [3]string // address, type, zone
	for i := range names {
		field := fields[1+i]
		if field == emptyField {
			continue
		}
		if names[i], err = url.QueryUnescape(field); err != nil {
			return "", m, fmt.Errorf("%w %q: %w", errMalformedLine, line, err)
		}
	}
	addedAt, err := strconv.ParseInt(fields[4], addedAtBase, 64)
	if err != nil {
		return "", m, fmt.Errorf("%w %q: %w", errMalformedLine, line, err)
	}
	agentEpoch, counter, err := parseEpochField(fields[5])
	if err != nil {
		return "", m, fmt.Errorf("%w %q: %w", errMalformedLine, line, err)
	}
	m = MachineRecord{
		Address:      names[0],
		MachineType:  protocol.MachineTypeName(names[1]),
		Zone:         protocol.Zone(names[2]),
		AddedAt:      protocol.Millis(addedAt),
		AgentEpoch:   agentEpoch,
		TokenCounter: counter,
		Spot:         strings.Contains(fields[6], spotFlag),
		Terminating:  strings.Contains(fields[6], terminatingFlag),
		Cordoned:     strings.Contains(fields[6], cordonedFlag),
	}
	for _, field := range fields[lineFields:] {
		assignment, err := parseAssignment(field)
		if err != nil {
			return "", m, fmt.Errorf("%w %q: %w", errMalformedLine, line, err)
		}
		m.Assignments = append(m.Assignments, assignment)
	}
	return id, m, nil
}

// parseEpochField reads an agent's epoch and, if it follows, the token counter.
func parseEpochField(field string) (epoch protocol.AgentEpoch, counter uint64, err error) {
	epochText, counterText, hasCounter := strings.Cut(field, counterSeparator)
	value, err := strconv.ParseUint(epochText, 10, 64)
	if err == nil && hasCounter {
		counter, err = strconv.ParseUint(counterText, 10, tokenCounterBits)
	}
	return protocol.AgentEpoch(value), counter, err
}

// parseAssignment reads the assignment of a machine's line.
func parseAssignment(field string) (assignment Assignment, err error) {
	parts := strings.Split(field, assignmentSeparator)
	if len(parts) != 3 {
		return assignment, fmt.Errorf("assignment %q: %d parts", field, len(parts))
	}
	assignment.Job = protocol.JobID(parts[0])
	if !assignment.Job.IsValid() {
		return assignment, fmt.Errorf("assignment %q: job ID", field)
	}
	attempt, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return assignment, fmt.Errorf("assignment %q: %w", field, err)
	}
	assignment.Attempt = protocol.Attempt(attempt)
	if err := assignment.Tasks.UnmarshalText([]byte(parts[2])); err != nil {
		return assignment, fmt.Errorf("assignment %q: %w", field, err)
	}
	if assignment.Tasks.IsZero() {
		return assignment, fmt.Errorf("assignment %q: no tasks", field)
	}
	return assignment, nil
}
