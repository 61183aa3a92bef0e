package simulation

import (
	"fmt"
	"strings"
	"time"

	"tillerarch/internal/coordination/step"
)

// StepCost holds the number of steps with inputs of one type, and the time that they took.
type StepCost struct {
	Count int
	Time  time.Duration
}

// StepCosts holds the costs of steps by the name of the input's type.
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
