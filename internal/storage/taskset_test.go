package storage

import (
	"math/rand/v2"
	"testing"
)

// Sets of task numbers must agree with plain maps whatever is done to them.
func TestTaskSetAgainstMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var r TaskSet
	want := map[int]bool{}
	for i := 0; i < 3000; i++ {
		n := rng.IntN(60)
		if rng.IntN(2) == 0 {
			r = r.Add(n)
			want[n] = true
		} else {
			r = r.Remove(n)
			delete(want, n)
		}
		var back TaskSet
		if err := back.UnmarshalText([]byte(r.String())); err != nil {
			t.Fatal(err)
		}
		if r.Len() != len(want) || back.Len() != len(want) {
			t.Fatalf("step %d: %s has %d, want %d", i, r, r.Len(), len(want))
		}
		for n := 0; n < 60; n++ {
			if back.Has(n) != want[n] {
				t.Fatalf("step %d: %s, %d is %v", i, r, n, back.Has(n))
			}
		}
		if g := len(r.FirstMissing(60, 60)); g != 60-len(want) {
			t.Fatalf("%s has %d gaps", r, g)
		}
	}
}

func TestTaskSetText(t *testing.T) {
	for _, c := range []struct {
		in string
		ok bool
	}{{"", true}, {"0", true}, {"0-5,7", true}, {"5-3", false}, {"7,7", false}, {"-1", false}, {"x", false}, {"1,", false}} {
		var r TaskSet
		if err := r.UnmarshalText([]byte(c.in)); (err == nil) != c.ok {
			t.Errorf("%q: %v", c.in, err)
		}
	}
}
