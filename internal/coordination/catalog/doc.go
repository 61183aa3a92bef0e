// Package catalog holds what the cloud offers: machine types, their prices and capacities, how long
// their machines take to start, and whether the spot price rule allows spot machines.
//
// It owns the last list of machine types and the price thresholds, and has the arithmetic of resources
// that placement and provisioning share. It reads no record, writes none, and provisions no machine.
package catalog
