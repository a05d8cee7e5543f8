// Package limiter bounds how much is read from a connection.
package limiter

import "io"

// Reader reads until the remaining number of bytes was read, and then returns Exceeded. Its
// owner sets Remaining anew for each part of the input.
type Reader struct {
	io.Reader
	Remaining int64
	// Exceeded is the error for input beyond the limit.
	Exceeded error
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	if r.Remaining <= 0 {
		return 0, r.Exceeded
	}
	n, err := r.Reader.Read(b[:min(int64(len(b)), r.Remaining)])
	r.Remaining -= int64(n)
	return n, err
}
