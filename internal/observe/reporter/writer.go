package reporter

import (
	"io"
	"sync"
	"sync/atomic"
)

// pendingLines bounds the lines that wait to be written.
const pendingLines = 256

// Writer hands lines to one goroutine that writes them, and never blocks: a
// line for which there is no room is dropped and counted.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	ending  chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

// NewWriter starts a writer.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{
		output: output, lines: make(chan []byte, pendingLines),
		ending: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.ending:
			w.rest()
			return
		}
	}
}

// rest writes the lines that are pending.
func (w *Writer) rest() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	// Nothing can be said about a log that can't be written.
	_, _ = w.output.Write(line)
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Close writes what is pending and ends the writer.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.ending) })
	<-w.done
}
