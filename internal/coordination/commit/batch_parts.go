package commit

import (
	"encoding/json"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// putPart adds a part of a record that is written in advance.
func (b *Batch) putPart(part storage.Part) {
	b.opsLeft--
	b.estimatedBytes += len(part.Text)
	b.parts[part.Name] = part.Encode()
}

// deletePart deletes a part that its record does not use. It makes the batch conditional on the
// record, which could use the part again otherwise.
func (b *Batch) deletePart(name storage.PartName) {
	b.opsLeft--
	b.DependOn(name.RecordKey())
	b.parts[name] = nil
}

// partOperations returns the operations that write and delete the parts that putPart and deletePart
// have added.
func (b *Batch) partOperations() (operations []protocol.Operation) {
	for _, name := range step.SortedKeys(b.parts) {
		if value := b.parts[name]; value != nil {
			operations = append(operations, protocol.Operation{PutKey: storage.PartKey(name), Value: value})
		} else {
			operations = append(operations, protocol.Operation{DeleteKey: storage.PartKey(name)})
		}
	}
	return operations
}

// jobOperations returns the operations that write a job's record and its parts.
func (b *Batch) jobOperations(id protocol.JobID, record *storage.JobRecord) []protocol.Operation {
	w := b.shardWriter
	limits := w.limits.WriteLimits()
	if !w.writesParts() {
		return putWithParts(storage.JobKey(id), storage.EncodeJob(w.limits.StorageFormat(), record), nil)
	}
	written := *record
	var newParts []storage.Part
	if mustCutSpec(record, limits) {
		newParts, written.SpecParts = storage.CutSpec(id, record.Spec, limits.ValueBytes)
		if w.hasParts(newParts) {
			newParts = nil
		}
	}
	value, parts := storage.EncodeJobInParts(id, &written, limits.ValueBytes)
	return putWithParts(storage.JobKey(id), value, append(newParts, parts...))
}

// putWithParts returns the operations that write a record and its parts. The parts come first, so
// that the record is complete once it is read.
func putWithParts(key string, value json.RawMessage, parts []storage.Part) (operations []protocol.Operation) {
	for _, part := range parts {
		operations = append(operations, protocol.Operation{PutKey: storage.PartKey(part.Name), Value: part.Encode()})
	}
	return append(operations, protocol.Operation{PutKey: key, Value: value})
}
