package sharding

// minMisdirectedMachines is the least number of workers whose word moves a whole page.
const minMisdirectedMachines = 3

// ShouldHandOffShard tells whether a page goes over as a whole to where its workers report: most
// of its machines do, and hardly any still talks to its owner. Of what is silent
// everywhere nothing can be said.
func ShouldHandOffShard(machines, misdirected, heartbeating int) bool {
	return misdirected >= minMisdirectedMachines && misdirected > 2*heartbeating && 2*misdirected > machines
}
