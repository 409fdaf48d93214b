package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Record is the chronological record of one run: all that clients, workers and the
// injector of faults have done and seen.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// NewRecord creates the record of a run in a directory.
func NewRecord(dir string) (*Record, error) {
	file, err := os.Create(filepath.Join(dir, "record.log"))
	if err != nil {
		return nil, errors.Wrap(err, "create the record; name a writable directory")
	}
	return &Record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Printf writes one line, preceded by the seconds since the start of the run.
func (r *Record) Printf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", r.Seconds(time.Now()), line)
}

// Seconds returns the time of an event in seconds since the start of the run.
func (r *Record) Seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// Close writes out what is buffered and closes the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
