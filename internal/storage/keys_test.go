package storage

import (
	"strings"
	"testing"
	"unicode"

	"tillerarch/internal/protocol"
)

// TestReplicaKeys checks that the replica keeps the revision of every key that it knows, rejects older
// values and removes deleted records. It keeps the registry, quotas and the format after a deletion,
// because no version deletes them.
func TestReplicaKeys(t *testing.T) {
	transfer := string(MustMarshal(TransferRecord{Shard: "p", Source: "a#1", Target: "b#1", Phase: TransferProposed}))
	for _, test := range []struct {
		name             string
		key              string
		value            string
		keptAfterDelete  bool // whether a deletion is ignored
		keptTombstone    bool // whether the deletion is remembered, so that older values are rejected
		malformedAllowed bool // whether a malformed value is accepted, because it is never decoded
	}{
		{name: "job", key: JobKey("j-1"), value: `{"d":{"uid":"j-1","pieces":1}}`},
		{name: "shard", key: ShardKey("a#1-1"), value: `{"o":"a#1","b":1,"m":[]}`, keptTombstone: true},
		{name: "controller", key: ControllerKey("a"), value: `{"r":"a#1"}`},
		{name: "quota", key: QuotaKey("team"), value: `{}`, keptAfterDelete: true, malformedAllowed: true},
		{name: "transfer", key: TransferKey("b/0"), value: transfer},
		{name: "part", key: PartKey("j/j-1/00"), value: `{"p":"text"}`},
		{name: "drain", key: DrainKey("a"), value: `{"s":1}`},
		{name: "registry", key: RegistryKey, value: `{}`, keptAfterDelete: true, malformedAllowed: true},
		{name: "format", key: FormatKey, value: `{"w":2,"b":"a#1"}`, keptAfterDelete: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			replica := NewReplica()
			expectRevision := func(when string, want protocol.ModRevision) {
				t.Helper()
				if got := replica.ModRevision(test.key); got != want {
					t.Errorf("%s: revision %d, want %d", when, got, want)
				}
			}
			put := func(value string, revision protocol.ModRevision) bool {
				t.Helper()
				applied, err := replica.Put(test.key, []byte(value), revision)
				if err != nil {
					t.Fatal(err)
				}
				return applied
			}
			expectRevision("before the first put", 0)
			if !put(test.value, 5) || put(test.value, 5) || put(test.value, 4) {
				t.Error("an equal or older value was applied, or a new one was not")
			}
			expectRevision("after a put", 5)
			if _, err := replica.Put(test.key, []byte(`[`), 6); (err == nil) != test.malformedAllowed {
				t.Errorf("Put of a malformed value: error %v, want one unless the value is never decoded", err)
			}
			replica.Delete(test.key, 3)
			if replica.ModRevision(test.key) == 0 {
				t.Error("a deletion older than the value was applied")
			}
			before := replica.ModRevision(test.key)
			replica.Delete(test.key, 9)
			if test.keptAfterDelete {
				expectRevision("after a deletion", before)
			} else {
				expectRevision("after a deletion", 0)
			}
			if applied := put(test.value, 8); applied == test.keptTombstone {
				t.Errorf("a value older than the deletion: applied %v, want it rejected only if the key has a tombstone", applied)
			}
		})
	}
}

// TestReplicaUnknownKey checks that the replica accepts keys that this version does not know, and that
// they change nothing.
func TestReplicaUnknownKey(t *testing.T) {
	for _, key := range []string{"", "t/", "t/j", "t/z/1", "t/rolls", revisionProbeKey, "x/j/j-1"} {
		replica := NewReplica()
		if applied, err := replica.Put(key, []byte(`[`), 3); !applied || err != nil {
			t.Errorf("Put of unknown key %q: applied %v, error %v; want applied without an error", key, applied, err)
		}
		replica.Delete(key, 4)
		if revision := replica.ModRevision(key); revision != 0 || len(replica.Jobs) != 0 {
			t.Errorf("unknown key %q: revision %d and jobs %v, want 0 and no jobs", key, revision, replica.Jobs)
		}
	}
}

// TestReplicaJobIndexes checks that the indexes of unfinished and cancelling jobs follow the jobs'
// records. The cached set of a job's completed tasks remains when the job is deleted.
func TestReplicaJobIndexes(t *testing.T) {
	for _, test := range []struct {
		name                           string
		value                          string
		wantUnfinished, wantCancelling bool
	}{
		{"pending", `{"d":{"uid":"j-1","pieces":3},"v":"0"}`, true, false},
		{"cancel requested", `{"d":{"uid":"j-1","pieces":3},"v":"0","w":true}`, true, true},
		{"cancelled", `{"d":{"uid":"j-1","pieces":3},"v":"0","s":"withdrawn"}`, false, false},
		{"without a specification", `{"v":"0"}`, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			replica := NewReplica()
			if _, err := replica.Put(JobKey("j-1"), []byte(`{"d":{"uid":"j-1","pieces":3},"w":true}`), 1); err != nil {
				t.Fatal(err)
			}
			if _, err := replica.Put(JobKey("j-1"), []byte(test.value), 2); err != nil {
				t.Fatal(err)
			}
			_, unfinished := replica.UnfinishedJobs["j-1"]
			_, cancelling := replica.CancellingJobs["j-1"]
			if unfinished != test.wantUnfinished || cancelling != test.wantCancelling {
				t.Errorf("job is unfinished: %v, cancelling: %v; want wantUnfinished and wantCancelling of the case",
					unfinished, cancelling)
			}
			if completed := replica.CompletedTasks("j-1").String(); completed != "0" {
				t.Errorf("completed tasks %q, want \"0\"", completed)
			}
			replica.Delete(JobKey("j-1"), 3)
			if len(replica.Jobs)+len(replica.UnfinishedJobs)+len(replica.CancellingJobs) != 0 {
				t.Errorf("deleted job remains in an index: %+v", replica)
			}
			if completed := replica.CompletedTasks("j-1").String(); completed != "0" {
				t.Errorf("completed tasks %q after the deletion, want \"0\" from the cache", completed)
			}
		})
	}
}

// The store refuses keys with spaces and keys of more than 200 bytes, so a team with such a name would never
// get a placement under its limit. Different teams have different keys, and the key of an ordinary name is
// the one that other versions use.
func TestQuotaKeyIsAccepted(t *testing.T) {
	long := strings.Repeat("t", 199)
	seen := map[string]string{}
	for _, team := range []string{"ledger-desk", "ledger desk", "ledger\tdesk", "ledger\u00a0desk", long, long + "a", long + "b"} {
		key := QuotaKey(team)
		if len(key) > 200 || strings.ContainsFunc(key, unicode.IsSpace) {
			t.Errorf("key %q of team %q has %d bytes or a space, want at most 200 bytes and no space", key, team, len(key))
		}
		if other, isTaken := seen[key]; isTaken {
			t.Errorf("teams %q and %q have the same key %q", team, other, key)
		}
		seen[key] = team
		replica := NewReplica()
		if _, err := replica.Put(key, []byte(`{}`), 5); err != nil || replica.ModRevision(QuotaKey(team)) != 5 {
			t.Errorf("the revision of the key of team %q is %d, want 5; error %v", team, replica.ModRevision(QuotaKey(team)), err)
		}
	}
	if got := QuotaKey("ledger-desk"); got != "t/q/ledger-desk" {
		t.Errorf("the key of an ordinary name is %q, want t/q/ledger-desk", got)
	}
}
