package storage

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"tillerarch/internal/protocol"
)

// TestLostJobsUnseenByOlderVersions checks that a version which does not know lost jobs reads the same flags.
// Such a version looks for the letter of each flag anywhere in the field.
func TestLostJobsUnseenByOlderVersions(t *testing.T) {
	record := MachineRecord{MachineType: "g8", LostJobs: []protocol.JobID{"j-0123456789"}}
	flags := strings.Split(record.EncodeLine("m-1"), " ")[6]
	if strings.ContainsAny(flags, spotFlag+terminatingFlag+cordonedFlag) {
		t.Errorf("flags %q contain the letter of a flag that is not set", flags)
	}
}

// TestMachineLineRoundTrip checks that the parsed line of a machine equals the encoded record whatever
// its fields contain, and that malformed lines are rejected.
func TestMachineLineRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name   string
		record MachineRecord
	}{
		{"empty", MachineRecord{}},
		{"typical", MachineRecord{
			Address:      "10.1.0.1:9000",
			MachineType:  "g8",
			Zone:         "a",
			AgentEpoch:   3,
			AddedAt:      1764633600123,
			TokenCounter: MaxTokenCounter,
		}},
		{"separators in fields, all flags", MachineRecord{
			Address:     "a b|c",
			MachineType: "two words",
			Zone:        "x%20y",
			Spot:        true,
			Terminating: true,
			Cordoned:    true,
			AgentEpoch:  1,
		}},
		{"lost jobs", MachineRecord{MachineType: "g8", Cordoned: true, LostJobs: []protocol.JobID{"j-000412", "j-7"}}},
		{"lost jobs without a flag", MachineRecord{MachineType: "g8", LostJobs: []protocol.JobID{"j-000412"}}},
		{"assignments, a dash as zone", MachineRecord{
			MachineType: "g8",
			Zone:        "-",
			Assignments: []Assignment{{"j-1", 1, TaskRange(0, 7)}, {"j-2", 9000, TaskRange(1, 1).Add(5)}},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			want := test.record
			line := want.EncodeLine("m-000001")
			id, got, err := parseMachineLine(line)
			if want.Zone == "-" {
				want.Zone = "" // the line does not distinguish a dash from an empty field; neither is a zone
			}
			if err != nil || id != "m-000001" || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("line %q: error %v, record %v, want machine m-000001 with %v", line, err, got, want)
			}
		})
	}
	for _, test := range []struct{ name, line string }{
		{"empty", ""},
		{"too few fields", "m-1"},
		{"malformed machine", "x a b c 1 1 -"},
		{"malformed time", "m-1 a b c ? 1 -"},
		{"malformed counter", "m-1 a b c 1 1+x -"},
		{"malformed escape", "m-1 %zz b c 1 1 -"},
		{"assignment without tasks", "m-1 a b c 1 1 - j-1.1"},
		{"malformed attempt", "m-1 a b c 1 1 - j-1.x.0"},
		{"assignment with empty tasks", "m-1 a b c 1 1 - j-1.1."},
		{"malformed lost job", "m-1 a b c 1 1 x:j-relax"},
		{"malformed tasks", "m-1 a b c 1 1 - j-1.1.5-2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := parseMachineLine(test.line); !errors.Is(err, errMalformedLine) {
				t.Errorf("line %q: error %v, want one that wraps errMalformedLine", test.line, err)
			}
		})
	}
}
