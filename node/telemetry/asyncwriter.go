package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the maximum number of log lines that wait for a slow reader.
const maxQueuedLines = 4096

// dropReportInterval is the minimum time between two reports of dropped lines.
const dropReportInterval = time.Second

// AsyncWriter writes log lines to an output in the background, so that its
// callers never block. Lines that the output does not accept in time are
// dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewAsyncWriter returns an AsyncWriter that writes to out, and starts its
// goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), out: out}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails: a line that does not fit into the
// queue is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	reported := int64(0)
	lastReport := time.Time{}
	var next []byte
	for {
		line := next
		if line == nil {
			line = <-w.lines
		}
		var batch []byte
		var count int64
		batch, count, next = w.collectBatch(line)
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(count)
			continue
		}
		if n := w.dropped.Load(); n > reported && time.Since(lastReport) > dropReportInterval {
			// 633 is events.LogLinesDropped.
			_, _ = fmt.Fprintf(w.out, "{\"event\":633,\"name\":\"log_lines_dropped\",\"dropped\":%d}\n", n-reported)
			reported, lastReport = n, time.Now()
		}
	}
}

// maxBatchBytes is the maximum number of bytes that one call writes. Writes of
// up to this size to a pipe are atomic, so that lines of several processes are
// never interleaved.
const maxBatchBytes = 4096

// collectBatch appends the queued lines to first and returns the batch with its
// number of lines. A line that would exceed maxBatchBytes is returned as next.
func (w *AsyncWriter) collectBatch(first []byte) (batch []byte, count int64, next []byte) {
	batch, count = first, 1
	for {
		select {
		case line := <-w.lines:
			if len(batch)+len(line) > maxBatchBytes {
				return batch, count, line
			}
			batch = append(batch, line...)
			count++
		default:
			return batch, count, nil
		}
	}
}
