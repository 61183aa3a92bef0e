package sharding

// minMisdirectedMachines is the least number of machines on whose heartbeats a whole shard is
// handed off: fewer pass one by one.
const minMisdirectedMachines = 3

// ShouldHandOffShard tells whether a shard passes as a whole to the controller that its agents
// send heartbeats to: most of its machines do, and more than twice as many as still reach the
// owner. Machines that are silent everywhere say nothing.
func ShouldHandOffShard(machines, misdirected, heartbeating int) bool {
	return misdirected >= minMisdirectedMachines &&
		misdirected > 2*heartbeating &&
		2*misdirected > machines
}
