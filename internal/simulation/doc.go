// Package simulation simulates the systems around the controllers of a deployment: the
// key-value store, the cloud, the agents on the machines, the load balancer, the users, and
// the network between them and the controllers with its faults. Time is simulated. The
// controllers are cores of package coordination, or separate processes (RemoteController).
//
// World holds the deployment, the event queue and the random source. The package depends on
// the protocol only: every effect of a core passes through Controller.performEffect, and no
// simulated system reads a core's memory. The checkers (RuleChecker, HistoryChecker) use only
// the replies to users, the tasks on the machines and the records in the store.
//
// One goroutine runs a world. All randomness comes from World.Rand, and every iteration that
// draws from it or schedules events is in a sorted order, so that a seed always produces the
// same sequence of events.
package simulation
