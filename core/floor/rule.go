package floor

// Quorum is the number of recorders that must hold a floor before a node applies
// a revision, and that must answer before a starting node relies on a floor.
const Quorum = 2

// AskedRecorders is the number of recorders that a node asks at the same time to
// store a floor. One that fails is replaced by the next.
const AskedRecorders = 3

// QuorumOf returns the number of acknowledgements or answers that a node needs
// if it knows the given number of recorders: Quorum, or one if there is only a
// single recorder to ask.
func QuorumOf(recorders int) int { return max(1, min(Quorum, recorders)) }

// Decide returns the highest floor in the answers. The floor is known only if
// at least needed answers count.
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
