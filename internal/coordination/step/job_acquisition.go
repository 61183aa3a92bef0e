package step

// AttemptBlockSize is how many attempt numbers an owner of a job sets aside at once.
const AttemptBlockSize = 1 << 10
