// Package integration runs a whole deployment over this machine's loopback interface. The
// controllers are processes of the real program. The simulated store, cloud and agents of package
// simulation reply to them over HTTP, in real time. Tests kill, pause, restart and cut off
// controllers, while the checkers of the simulated world observe all that the store, the agents and
// the users receive.
//
// The package owns the processes (Cluster, Controller) and the HTTP servers (SimulationServer). Only
// one goroutine at a time may access the simulated world, so every access goes through WithWorld.
package integration
