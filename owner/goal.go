package owner

// Goal selects what the refusal policy optimizes for.
type Goal uint8

// Goals.
const (
	// GoalWorth optimizes the number of jobs done in time. A job that could only be late is
	// refused if it delays others.
	GoalWorth Goal = iota
	// GoalServed optimizes the number of jobs done at all, late ones included, and avoids late
	// refusals.
	GoalServed
)

// String returns the name of the goal in settings and logs.
func (g Goal) String() string {
	if g == GoalServed {
		return "served"
	}
	return "worth"
}
