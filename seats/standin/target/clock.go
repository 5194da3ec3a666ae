package target

import "time"

// Started records the starts of one job.
type Started struct {
	// First is the time of the first start.
	First time.Time
	// Tasks counts the starts by task ID.
	Tasks map[string]int
}

// record records a start of a task.
func (s *Started) record(task string, now time.Time) {
	if s.Tasks == nil {
		s.Tasks = make(map[string]int)
		s.First = now
	}
	s.Tasks[task]++
}
