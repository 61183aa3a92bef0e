//go:build golden

package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
	"tillerarch/internal/transport"
)

// TestWriteGolden writes the records of a busy deployment, and a frame between controllers, in the
// formats of the version that it is built from. The files in testdata/production were written by
// running it at the commit that deploy/service.toml names as production:
//
//	GOLDEN=DIR go test -tags golden -run TestWriteGolden ./internal/simulation
func TestWriteGolden(t *testing.T) {
	w := NewWorld(42, 3, testMachineTypes, testTeams())
	for i := range 70 {
		w.AddMachine("small", testZones[i%2], i%5 == 4, 0)
	}
	submitMixedJobs(w, 30)
	for i := range 4 {
		job := &protocol.Job{ID: protocol.JobID(fmt.Sprintf("j-7%05d", i)), Class: "l", Team: "core", Kind: protocol.KindArray, Priority: "standard",
			TaskCount: 900, Cores: 1, MemoryGB: 1, Image: "img-1", ImageGB: 1, EstimatedRunSeconds: 9}
		w.After(time.Duration(2+i)*time.Second, func() { w.Submit(job) })
	}
	w.Advance(40 * time.Second)
	for _, id := range w.runningJobs()[:2] {
		w.Cancel(id)
	}
	w.Advance(150 * time.Millisecond)
	records, err := json.MarshalIndent(w.Store.List(storage.KeyPrefix), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	status := step.PeerStatus{ControllerID: "stall-1", StoreReachable: true, Incarnation: "stall-1#7", AcceptsShards: true, Revision: 41,
		MisdirectedHeartbeats: []step.MisdirectedHeartbeat{{Machine: "m-000231", AgentEpoch: 2, Sequence: 9}},
		CancelRequests:        []step.CancelRequest{{Job: "j-000412", Revision: 40}}, CancelAcks: []protocol.JobID{"j-000413"}}
	frame, err := transport.AppendFrame(nil, status.Wire())
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"records.json": records, "hint.gob": frame} {
		if err := os.WriteFile(filepath.Join(os.Getenv("GOLDEN"), name), data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
