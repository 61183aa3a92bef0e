package catalog

import (
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of what the cloud offers, connected with each other.
type Parts struct {
	Catalog *Catalog
	Spot    *SpotPricing
}

// New makes the parts. They can be used once they are connected with those of other packages.
func New(ctx *step.Context) *Parts {
	p := &Parts{
		Catalog: &Catalog{Context: ctx},
		Spot:    NewSpotPricing(ctx),
	}
	p.Catalog.spot = p.Spot
	return p
}
