package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: one line for each event, with the milliseconds since the
// beginning. It is safe for concurrent use.
type record struct {
	begin time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// newRecord replaces the file at path.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// now returns the time since the beginning.
func (r *record) now() time.Duration {
	return time.Since(r.begin)
}

// add writes a line. Lines that begin with "rule" or "not run" also go to standard output.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.1f %s\n", float64(r.now().Microseconds())/1000, line)
	if len(line) > 4 && (line[:4] == "rule" || line[:4] == "not ") {
		fmt.Println(line)
	}
}

// close writes what is buffered and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
