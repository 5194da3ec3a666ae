package settings

import "fmt"

// Fault is one error in a settings file.
type Fault struct {
	// Line is the line in the file, or zero if unknown.
	Line int
	Text string
}

// String returns the message, prefixed with the line if it is known.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Text
	}
	return fmt.Sprintf("line %d: %s", f.Line, f.Text)
}

// Faults are all errors of a settings file.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	text := ""
	for k, fault := range f {
		if k > 0 {
			text += "\n"
		}
		text += fault.String()
	}
	return text
}
