package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a run notes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // the path is an argument of the program
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f)}, nil
}

// line writes one line with the time of day.
func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, values...)) // checked by close
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
