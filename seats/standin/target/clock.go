package target

import "time"

// Started is when a job's first task was started.
type Started struct {
	First time.Time
	// Tasks is how often each task, by its id, was started.
	Tasks map[string]int
}

// note remembers one start of a job's task.
func (s *Started) note(task string, now time.Time) {
	if s.Tasks == nil {
		s.Tasks = make(map[string]int)
		s.First = now
	}
	s.Tasks[task]++
}
