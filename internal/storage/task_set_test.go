package storage

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// Task sets must agree with plain maps whatever is done to them.
func TestTaskSetAgainstMap(t *testing.T) {
	const indexes = 60
	rng := rand.New(rand.NewPCG(1, 2))
	var set TaskSet
	want := map[int]bool{}
	for step := range 3000 {
		n := rng.IntN(indexes)
		if rng.IntN(2) == 0 {
			set = set.Add(n)
			want[n] = true
		} else {
			set = set.Remove(n)
			delete(want, n)
		}
		var back TaskSet
		if err := back.UnmarshalText([]byte(set.String())); err != nil {
			t.Fatal(err)
		}
		if set.Len() != len(want) || back.Len() != len(want) {
			t.Fatalf("step %d: %s has %d, want %d", step, set, set.Len(), len(want))
		}
		for n := range indexes {
			if back.Contains(n) != want[n] {
				t.Fatalf("step %d: %s, %d is %v", step, set, n, back.Contains(n))
			}
		}
		if missing := len(set.FirstMissing(indexes, indexes)); missing != indexes-len(want) {
			t.Fatalf("%s lacks %d indexes", set, missing)
		}
	}
}

func TestTaskSetText(t *testing.T) {
	for _, test := range []struct {
		name  string
		text  string
		valid bool
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
			if (err == nil) != test.valid {
				t.Errorf("%q: %v", test.text, err)
			}
			if err != nil && !errors.Is(err, errMalformedTaskSet) {
				t.Errorf("%q: %v has no cause", test.text, err)
			}
		})
	}
}
