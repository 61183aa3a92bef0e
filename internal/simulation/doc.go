// Package simulation plays the outside systems of a deployment in simulated time: the
// key-value store, the cloud, the agents on the machines, the load balancer, the users, and
// the network between them and the controllers, with its faults. The controllers are real
// cores of package coordination; RemoteController replaces them by processes of their own.
//
// The package owns the world (World), its event queue and its random source. It follows
// docs/PROTOCOL only: what leaves a core goes through Controller.performEffect and nothing reaches
// into a core's memory. Its checkers (RuleChecker, HistoryChecker) judge from outside, by what
// users are told, what is on the machines and what the store holds.
//
// One goroutine plays a world. All randomness comes from World.Rand and all iteration that
// draws from it or plans events is in a sorted order, so a seed gives the same day every time.
package simulation
