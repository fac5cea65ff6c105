// Package connlimit estimates whether a backend server holds as many open flows as it accepts. An
// instance knows its own flows at once and those of its peers from reports that are up to 2 s old.
// The package performs no I/O.
package connlimit

// headroomDivisor is the share of the limit that is kept free for the flows that no report counts:
// those of instances in other failure domains and of instances that have just started. When many
// instances open flows at once, Unreported covers most of the others.
const headroomDivisor = 20

// Full reports whether a server that accepts max open flows counts as full. own are the flows of
// this instance, reported those that peers have reported or probably will. Without a limit, which
// is a max of 0, no server is full.
func Full(own, reported, max int) bool {
	return max > 0 && own+reported >= max-max/headroomDivisor
}

// Unreported estimates how many flows peers have opened at a server since their last reports, from
// those that this instance has opened meanwhile: clients spread over all instances evenly. before
// is the number of own flows about as long ago as the reports are old.
func Unreported(own int, before float64, peers int) int {
	return int(max(float64(own)-before, 0) * float64(peers))
}

// Matters reports whether the own flows at a server are so many that peers need to know them even
// if hardly any request comes on them: if all instances have as many, the server is half full.
func Matters(own, peers, max int) bool {
	return max > 0 && own > 0 && 2*own*(peers+1) >= max
}
