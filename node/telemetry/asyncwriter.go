package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// asyncLines bounds the log lines that wait for a slow reader.
const asyncLines = 4096

// dropNotice is the least time between two lines that count dropped lines.
const dropNotice = time.Second

// AsyncWriter hands lines to an output without ever blocking its caller. What
// the output does not take in time is dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewAsyncWriter returns a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncLines), out: out}
	go w.run()
	return w
}

// Write implements io.Writer; it always takes the whole line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were left out.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	noted := int64(0)
	last := time.Time{}
	var rest []byte
	for {
		line := rest
		if line == nil {
			line = <-w.lines
		}
		var batch []byte
		var count int64
		batch, count, rest = w.gather(line)
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(count)
			continue
		}
		if n := w.dropped.Load(); n > noted && time.Since(last) > dropNotice {
			_, _ = fmt.Fprintf(w.out, "{\"event\":633,\"name\":\"log_lines_dropped\",\"dropped\":%d}\n", n-noted)
			noted, last = n, time.Now()
		}
	}
}

// batchBytes bounds the lines that are written by one call: what a pipe takes
// as a whole, so that lines of several processes are never mixed.
const batchBytes = 4096

// gather adds the lines that wait already, and returns how many there are. A
// line that would not fit is returned as rest.
func (w *AsyncWriter) gather(first []byte) (batch []byte, count int64, rest []byte) {
	batch, count = first, 1
	for {
		select {
		case line := <-w.lines:
			if len(batch)+len(line) > batchBytes {
				return batch, count, line
			}
			batch = append(batch, line...)
			count++
		default:
			return batch, count, nil
		}
	}
}
