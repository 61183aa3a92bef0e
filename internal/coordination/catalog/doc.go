// Package catalog holds the machine types that the cloud offers, with their prices, capacities and
// startup times, and decides from spot prices whether spot machines may be used.
//
// The package owns the latest list of machine types and the price thresholds. It also provides the
// arithmetic of resources that placement and provisioning share. It neither reads nor writes records
// and provisions no machines.
package catalog
