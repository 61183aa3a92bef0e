package simulation

import (
	"fmt"
	"strings"
	"time"

	"tillerarch/internal/coordination/step"
)

// StepCost is what the steps of one kind of input took.
type StepCost struct {
	Count int
	Time  time.Duration
}

// StepCosts are kept by the kind of input.
type StepCosts map[string]*StepCost

func (c StepCosts) add(input step.Input, d time.Duration) {
	name := fmt.Sprintf("%T", input)
	kind := name[strings.LastIndex(name, ".")+1:]
	if c[kind] == nil {
		c[kind] = &StepCost{}
	}
	c[kind].Count++
	c[kind].Time += d
}
