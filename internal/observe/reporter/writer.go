package reporter

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxPendingLines is the maximum number of lines that wait to be written.
const maxPendingLines = 256

// Writer writes lines to an output in a goroutine of its own, so that a slow or blocked
// output never blocks the caller of Write. If the buffer of pending lines is full, a line
// is dropped and counted. A Writer is safe for concurrent use.
type Writer struct {
	output io.Writer
	lines  chan []byte
	// closing is closed by Close, and done when run has returned.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Int64
}

// NewWriter returns a Writer to output and starts its goroutine. The caller must close it.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{
		output: output, lines: make(chan []byte, maxPendingLines),
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes the pending lines.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	// The error is ignored: the log is the only place where it could be recorded.
	_, _ = w.output.Write(line)
}

// Write implements io.Writer. It never blocks and never fails: a line that does not fit
// in the buffer is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// HasSpace reports whether another line fits in the buffer now.
func (w *Writer) HasSpace() bool { return len(w.lines) < cap(w.lines) }

// Dropped returns the number of lines dropped since the last call of Dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Close writes the pending lines and ends the goroutine. Lines written later are lost.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
}
