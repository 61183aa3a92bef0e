package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// Controllers of the version in production are played by cores of this one that are told
// nothing of new limits and whose records are stripped of what that version does not write.
// What they are given to read is checked against the formats of that version.

// The records as the version in production reads them.
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

// checkProductionFormat reads a record as the version in production does, but strictly: a
// field that it does not know would be lost when it writes the record again.
func checkProductionFormat(key string, data json.RawMessage) error {
	decodeStrictly := func(v any) error {
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		return d.Decode(v)
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
			return fmt.Errorf("job %s", data)
		}
	}
	return nil
}

// validate looks at the fields that the version in production reads as text.
func (s *productionShard) validate() error {
	const machineFields = 7
	for _, line := range s.Machines {
		if len(strings.Split(line, " ")) < machineFields {
			return fmt.Errorf("machine %q", line)
		}
	}
	for _, intervals := range s.CompletedTasks {
		if !isIntervalList(intervals) {
			return fmt.Errorf("completed tasks %q", intervals)
		}
	}
	return nil
}

// isIntervalList reports whether a text has only what lists of task intervals are made of.
func isIntervalList(text string) bool { return strings.Trim(text, "0123456789,-") == "" }

// transactionForVersion is the transaction as the controller's version writes it.
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

// acceptsRecord checks a record that a controller of the version in production is given. It
// reports whether that version reads it.
func (c *Controller) acceptsRecord(key string, data json.RawMessage) bool {
	if !c.RunsProductionVersion {
		return true
	}
	if err := checkProductionFormat(key, data); err != nil {
		c.world.Rules.recordViolation("unreadable", "%s for %s running the production version: %v", key, c.ID, err)
		return false
	}
	isUnknownInProduction := key == storage.FormatKey || strings.HasPrefix(key, storage.TransferKey("")) || strings.HasPrefix(key, storage.DrainKey(""))
	return !isUnknownInProduction
}

// readableEntries are the entries that the controller's version reads.
func (c *Controller) readableEntries(entries []protocol.Entry) (out []protocol.Entry) {
	for _, entry := range entries {
		if c.acceptsRecord(entry.Key, entry.Value) {
			out = append(out, entry)
		}
	}
	return out
}

// readableEvents are the events that the controller's version reads.
func (c *Controller) readableEvents(events []protocol.Event) (out []protocol.Event) {
	for _, event := range events {
		if event.PutKey == "" || c.acceptsRecord(event.PutKey, event.Value) {
			out = append(out, event)
		}
	}
	return out
}
