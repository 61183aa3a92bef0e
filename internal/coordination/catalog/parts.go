package catalog

import (
	"tillerarch/internal/coordination/step"
)

// Parts are the parts of what the cloud offers, connected with each other.
type Parts struct {
	Catalog *Catalog
	Spot    *SpotPricing
}

// New makes the parts. They need nothing of other packages.
func New(ctx *step.Context) *Parts {
	spot := newSpotPricing(ctx)
	return &Parts{
		Catalog: &Catalog{Context: ctx, spot: spot},
		Spot:    spot,
	}
}
