// Package integration plays a whole deployment over this machine's loopback interface.
// Controllers are real processes of the program; the outside systems of package simulation
// reply to them over HTTP, in real time. Tests kill, pause, restart and cut off controllers, and
// the checkers of the simulated world see all that the store, the agents and the users are told.
//
// The package owns the processes (Cluster, Controller) and the HTTP servers (SimulationServer).
// The world belongs to one goroutine at a time: every access goes through WithWorld.
package integration
