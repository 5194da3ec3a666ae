package owner

// Term selects what the refusal policy optimizes for.
type Term uint8

// Terms.
const (
	// MostWorth optimizes the number of jobs done in time. A job that could only be late is
	// refused if it delays others.
	MostWorth Term = iota
	// MostServed optimizes the number of jobs done at all, late ones included, and avoids late
	// refusals.
	MostServed
)

// String returns the name of the term in settings and logs.
func (t Term) String() string {
	if t == MostServed {
		return "served"
	}
	return "worth"
}
