package floor

// Quorum is how many of the recorders must hold a floor before a node applies a
// revision, and how many must answer before a starting node trusts a floor.
const Quorum = 2

// Recorders is how many recorders are asked at once.
const Recorders = 3

// Needed is the number of acknowledgements or answers that a node needs when it
// knows of this many recorders. A deployment with a single recorder can not do
// better than one.
func Needed(recorders int) int { return max(1, min(Quorum, recorders)) }

// Decide returns the floor that the answers give; it is not known while fewer
// than needed answers count.
func Decide(answers []Answer, needed int) (revision uint64, known bool) {
	counted := 0
	for _, a := range answers {
		if a.Counts() {
			counted++
		}
		revision = max(revision, a.Floor)
	}
	return revision, counted >= needed
}
