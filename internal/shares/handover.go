package shares

// fewest is the least number of workers whose word moves a whole page.
const fewest = 3

// WholePage tells whether a page goes over as a whole to where its workers report: most
// of its machines do, and hardly any still talks to its owner. Of what is silent
// everywhere nothing can be said.
func WholePage(machines, elsewhere, talking int) bool {
	return elsewhere >= fewest && elsewhere > 2*talking && 2*elsewhere > machines
}
