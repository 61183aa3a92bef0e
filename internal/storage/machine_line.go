package storage

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"tillerarch/internal/protocol"
)

// The line of a machine consists of fields that are separated by spaces:
//
//	ID address type zone added-at epoch[+counter] flags [job.attempt.tasks]...
//
// An empty field is written as a dash. Address, type and zone are query-escaped. The time
// added-at is in milliseconds, in base 36. The field flags holds one letter for each flag that is
// set, and after them the lost jobs, each with a colon before it. Versions that do not know lost
// jobs look for the letters only, which no job ID contains, and drop the list when they write.
const (
	lineFields          = 7 // number of fields before the assignments
	emptyField          = "-"
	addedAtBase         = 36
	assignmentSeparator = "."
	counterSeparator    = "+"
	lostJobSeparator    = ":"
)

// Flags of a machine's line.
const (
	spotFlag        = "l"
	terminatingFlag = "r"
	cordonedFlag    = "x"
)

// errMalformedLine is wrapped by every error about a machine's line that cannot be parsed.
var errMalformedLine = errors.New("malformed machine line")

// EncodeLine encodes the record of the machine with the given ID as a line of its shard's record.
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

// lineFlags returns the flags field of the machine's line. It is empty if no flag is set.
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
	for _, job := range m.LostJobs {
		flags += lostJobSeparator + string(job)
	}
	return flags
}

// machineIDOfLine returns the machine ID at the start of a line.
func machineIDOfLine(line string) protocol.MachineID {
	id, _, _ := strings.Cut(line, " ")
	return protocol.MachineID(id)
}

// parseMachineLine parses a line that EncodeLine has written.
func parseMachineLine(line string) (id protocol.MachineID, record MachineRecord, err error) {
	fields := strings.Split(line, " ")
	if len(fields) < lineFields {
		return "", record, fmt.Errorf("%w %q: %d fields, want at least %d", errMalformedLine, line, len(fields), lineFields)
	}
	id = protocol.MachineID(fields[0])
	if !id.IsValid() {
		return "", record, fmt.Errorf("%w %q: invalid machine ID", errMalformedLine, line)
	}
	var textFields [3]string // address, type, zone
	for i := range textFields {
		field := fields[1+i]
		if field == emptyField {
			continue
		}
		if textFields[i], err = url.QueryUnescape(field); err != nil {
			return "", record, fmt.Errorf("%w %q: address, machine type or zone: %w", errMalformedLine, line, err)
		}
	}
	addedAt, err := strconv.ParseInt(fields[4], addedAtBase, 64)
	if err != nil {
		return "", record, fmt.Errorf("%w %q: time added: %w", errMalformedLine, line, err)
	}
	agentEpoch, counter, err := parseEpochField(fields[5])
	if err != nil {
		return "", record, fmt.Errorf("%w %q: agent epoch or token counter: %w", errMalformedLine, line, err)
	}
	flags, lostJobs, err := parseFlagsField(fields[6])
	if err != nil {
		return "", record, fmt.Errorf("%w %q: %w", errMalformedLine, line, err)
	}
	record = MachineRecord{
		Address:      textFields[0],
		MachineType:  protocol.MachineTypeName(textFields[1]),
		Zone:         protocol.Zone(textFields[2]),
		AddedAt:      protocol.Millis(addedAt),
		AgentEpoch:   agentEpoch,
		TokenCounter: counter,
		Spot:         strings.Contains(flags, spotFlag),
		Terminating:  strings.Contains(flags, terminatingFlag),
		Cordoned:     strings.Contains(flags, cordonedFlag),
		LostJobs:     lostJobs,
	}
	for _, field := range fields[lineFields:] {
		assignment, err := parseAssignment(field)
		if err != nil {
			return "", record, fmt.Errorf("%w %q: %w", errMalformedLine, line, err)
		}
		record.Assignments = append(record.Assignments, assignment)
	}
	return id, record, nil
}

// parseFlagsField parses the field that holds the letters of the flags and the lost jobs.
func parseFlagsField(field string) (flags string, lostJobs []protocol.JobID, err error) {
	parts := strings.Split(field, lostJobSeparator)
	for _, part := range parts[1:] {
		job := protocol.JobID(part)
		if !job.IsValid() {
			return "", nil, fmt.Errorf("flags %q: invalid ID of a lost job", field)
		}
		lostJobs = append(lostJobs, job)
	}
	return parts[0], lostJobs, nil
}

// parseEpochField parses the field that holds the agent's epoch and the token counter. The
// returned counter is zero if the field does not contain it.
func parseEpochField(field string) (epoch protocol.AgentEpoch, counter uint64, err error) {
	epochText, counterText, hasCounter := strings.Cut(field, counterSeparator)
	epochValue, err := strconv.ParseUint(epochText, 10, 64)
	if err == nil && hasCounter {
		counter, err = strconv.ParseUint(counterText, 10, tokenCounterBits)
	}
	return protocol.AgentEpoch(epochValue), counter, err
}

// parseAssignment parses one assignment of a machine's line.
func parseAssignment(field string) (assignment Assignment, err error) {
	parts := strings.Split(field, assignmentSeparator)
	if len(parts) != 3 {
		return assignment, fmt.Errorf("assignment %q: %d parts, want job, attempt and tasks", field, len(parts))
	}
	assignment.Job = protocol.JobID(parts[0])
	if !assignment.Job.IsValid() {
		return assignment, fmt.Errorf("assignment %q: invalid job ID", field)
	}
	attempt, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return assignment, fmt.Errorf("assignment %q: attempt: %w", field, err)
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
