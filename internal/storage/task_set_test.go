package storage

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// TestTaskSetAgainstMap checks that a task set contains the same indexes as a map after the same
// additions and removals.
func TestTaskSetAgainstMap(t *testing.T) {
	const indexCount = 60
	rng := rand.New(rand.NewPCG(1, 2))
	var set TaskSet
	want := map[int]bool{}
	for step := range 3000 {
		index := rng.IntN(indexCount)
		if rng.IntN(2) == 0 {
			set = set.Add(index)
			want[index] = true
		} else {
			set = set.Remove(index)
			delete(want, index)
		}
		var decoded TaskSet
		if err := decoded.UnmarshalText([]byte(set.String())); err != nil {
			t.Fatal(err)
		}
		if set.Len() != len(want) || decoded.Len() != len(want) {
			t.Fatalf("step %d: set %s has length %d, want %d before and after encoding", step, set, set.Len(), len(want))
		}
		for index := range indexCount {
			if decoded.Contains(index) != want[index] {
				t.Fatalf("step %d: set %s contains %d: %v, want the opposite", step, set, index, decoded.Contains(index))
			}
		}
		if missing := len(set.FirstMissing(indexCount, indexCount)); missing != indexCount-len(want) {
			t.Fatalf("FirstMissing of set %s returns %d indexes, want all that are not in the set", set, missing)
		}
	}
}

// TestTaskSetText checks that valid encodings of task sets are decoded and malformed ones are rejected.
func TestTaskSetText(t *testing.T) {
	for _, test := range []struct {
		name      string
		text      string
		wantValid bool
	}{
		{"empty", "", true},
		{"one index", "0", true},
		{"interval and index", "0-5,7", true},
		{"reversed interval", "5-3", false},
		{"repeated index", "7,7", false},
		{"negative index", "-1", false},
		{"no number", "x", false},
		{"trailing comma", "1,", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var set TaskSet
			err := set.UnmarshalText([]byte(test.text))
			if (err == nil) != test.wantValid {
				t.Errorf("text %q: error %v, want one only if the text is malformed", test.text, err)
			}
			if err != nil && !errors.Is(err, errMalformedTaskSet) {
				t.Errorf("text %q: error %v, want one that wraps errMalformedTaskSet", test.text, err)
			}
		})
	}
}
