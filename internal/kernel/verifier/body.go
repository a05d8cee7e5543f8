package verifier

import (
	"fmt"
	"io"
	"net/http"
)

// TooLongError reports a body that exceeds a limit in bytes.
type TooLongError struct{ Limit int64 }

func (e *TooLongError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

// ReadBody reads a body to its end. The error is a *TooLongError if it has more than limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &TooLongError{limit}
	}
	return data, err
}

// EndsWithConnection reports whether the body of an answer to a request with the method has no end other
// than that of the connection (RFC 9112, section 6.3).
func EndsWithConnection(r *http.Response, method string) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed && method != http.MethodHead
}

// unframedBody is a body that ends with its connection. A connection reports its failure once: if a write
// took the report, the reader sees an ordinary end of the stream.
type unframedBody struct {
	io.ReadCloser
	exchange *exchange
	ended    bool
	err      error
}

// Read implements io.Reader. Its error at the end of a body that may not be whole is io.ErrUnexpectedEOF.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended, b.err = true, err
	}
	if err == io.EOF && !b.exchange.wroteWhole() {
		b.err = io.ErrUnexpectedEOF
	}
	return n, b.err
}
