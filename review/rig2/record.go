package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // the path is an argument of the script
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file}, nil
}

// at returns the time since the case began, in seconds.
func (r *record) at() float64 { return time.Since(r.started).Seconds() }

// printf writes one line with the time of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.at(), fmt.Sprintf(format, args...)) // a full disk shows in the record
}

// conclude writes the last line, also to the standard output.
func (r *record) conclude(format string, args ...any) {
	r.printf(format, args...)
	fmt.Println(fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() } // nothing depends on it any more
