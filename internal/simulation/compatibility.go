package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// A controller of the version in production is simulated by a core of this version that gets no
// announced limits, records no transfers, and whose written records lose the fields that the
// production version does not write. The records that it reads are checked against the formats
// of the production version.

// Records as the version in production reads them.
type (
	productionShard struct {
		Owner          string            `json:"o"`
		Epoch          uint64            `json:"b"`
		Machines       []string          `json:"m"`
		CompletedTasks map[string]string `json:"d"`
	}
	productionJob struct {
		Spec                json.RawMessage `json:"d"`
		State               string          `json:"s"`
		Owner               string          `json:"c"`
		NextAttempt         uint64          `json:"n"`
		CompletedTasks      string          `json:"v"`
		GracefulStopAttempt uint64          `json:"h"`
		ReservedMachines    []string        `json:"m"`
		SubmittedAt         int64           `json:"t"`
		CancelRequested     bool            `json:"w"`
		CancelUpdatedAt     int64           `json:"o"`
		TaskCount           int             `json:"k"`
	}
	productionController struct {
		Incarnation  string `json:"r"`
		WriteBarrier int    `json:"f"`
	}
)

// checkProductionFormat decodes a record as the version in production does and returns an error
// if that fails. Unlike that version it does not accept unknown fields, because the production
// version would lose them when it writes the record again.
func checkProductionFormat(key string, data json.RawMessage) error {
	decodeStrictly := func(value any) error {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		return decoder.Decode(value)
	}
	switch {
	case strings.HasPrefix(key, storage.ShardKey("")):
		var shard productionShard
		if err := decodeStrictly(&shard); err != nil {
			return err
		}
		return shard.validate()
	case strings.HasPrefix(key, storage.JobKey("")):
		var job productionJob
		if err := decodeStrictly(&job); err != nil {
			return err
		}
		if !isIntervalList(job.CompletedTasks) || job.State == "" && len(job.Spec) == 0 {
			return fmt.Errorf("no valid task intervals, or neither a state nor a description, in job %s", data)
		}
	}
	return nil
}

// validate checks the fields that the version in production parses from text.
func (s *productionShard) validate() error {
	const machineFields = 7
	for _, line := range s.Machines {
		if len(strings.Split(line, " ")) < machineFields {
			return fmt.Errorf("too few fields in machine %q", line)
		}
	}
	for _, intervals := range s.CompletedTasks {
		if !isIntervalList(intervals) {
			return fmt.Errorf("no valid intervals in completed tasks %q", intervals)
		}
	}
	return nil
}

// isIntervalList reports whether a text contains only the characters of lists of task intervals.
func isIntervalList(text string) bool { return strings.Trim(text, "0123456789,-") == "" }

// transactionForVersion returns the transaction as the controller's version writes it.
func (c *Controller) transactionForVersion(transaction protocol.Transaction) protocol.Transaction {
	if !c.RunsProductionVersion {
		return transaction
	}
	operations := append([]protocol.Operation(nil), transaction.Operations...)
	for i := range operations {
		if !strings.HasPrefix(operations[i].PutKey, storage.ControllerKey("")) {
			continue
		}
		var productionRecord productionController
		if err := json.Unmarshal(operations[i].Value, &productionRecord); err != nil {
			panic(err)
		}
		operations[i].Value = protocol.Encode(productionRecord)
	}
	transaction.Operations = operations
	return transaction
}

// acceptsRecord reports whether the controller's version reads a record. For the version in
// production it also checks the record's format and records a violation if that is unreadable.
func (c *Controller) acceptsRecord(key string, data json.RawMessage) bool {
	if !c.RunsProductionVersion {
		return true
	}
	if err := checkProductionFormat(key, data); err != nil {
		c.world.Rules.recordViolation("unreadable", "record %s is unreadable for %s, which runs the production version: %v", key, c.ID, err)
		return false
	}
	isUnknownInProduction := key == storage.FormatKey || storage.IsPartKey(key) || strings.HasPrefix(key, storage.TransferKey("")) || strings.HasPrefix(key, storage.DrainKey(""))
	return !isUnknownInProduction
}

// readableEntries returns the entries that the controller's version reads.
func (c *Controller) readableEntries(entries []protocol.Entry) (out []protocol.Entry) {
	for _, entry := range entries {
		if c.acceptsRecord(entry.Key, entry.Value) {
			out = append(out, entry)
		}
	}
	return out
}

// readableEvents returns the events that the controller's version reads.
func (c *Controller) readableEvents(events []protocol.Event) (out []protocol.Event) {
	for _, event := range events {
		if event.PutKey == "" || c.acceptsRecord(event.PutKey, event.Value) {
			out = append(out, event)
		}
	}
	return out
}
