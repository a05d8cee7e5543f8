package listener

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
)

const (
	// fieldBytes is what one field of a header costs.
	fieldBytes = 256
	// maxReadBytes bounds what is read ahead of a body. It exceeds the largest body of a call, which the
	// handler refuses if it is longer.
	maxReadBytes = 2 << 20
	// bodyTimeout bounds the time for what is read ahead of a body, which holds memory meanwhile.
	bodyTimeout = 30 * time.Second
	// retryAfterSeconds is how long the sender of a request waits that was refused for lack of memory.
	retryAfterSeconds = "1"
)

// accounted reserves memory for requests until they are answered.
type accounted struct {
	handler http.Handler
	account *accountant.Account
}

// ServeHTTP implements http.Handler. It reads the body before the handler runs, so that a request for which
// there is no memory is refused with 503 and has not run.
func (a *accounted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	memory := a.account.Open(nil)
	defer memory.Release()
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	if _, ok := memory.GrowFrom(accountant.SmallHeads, accountant.Heads, int64(fields*fieldBytes)); !ok {
		refuse(w)
		return
	}
	if r.ContentLength != 0 {
		deadline := http.NewResponseController(w)
		// Not every ResponseWriter of a test supports it.
		_ = deadline.SetReadDeadline(time.Now().Add(bodyTimeout))
		data, err := memory.ReadAll(r.Body, accountant.BodySizes, r.ContentLength, maxReadBytes)
		switch {
		case errors.Is(err, accountant.ErrFull):
			refuse(w)
			return
		case errors.Is(err, accountant.ErrTooLong):
			err = nil
		case err == nil:
			// The server reads on to notice that the client leaves. After an error, the deadline ends the
			// discarding of the rest.
			_ = deadline.SetReadDeadline(time.Time{})
		}
		r.Body = &Body{Reader: io.MultiReader(bytes.NewReader(data), &failing{r.Body, err}), Closer: r.Body}
	}
	a.handler.ServeHTTP(w, r)
}

// Body is a body of which a part was read ahead.
type Body struct {
	io.Reader
	io.Closer
}

// failing returns an error at its first read; without one it reads on.
type failing struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (f *failing) Read(b []byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	return f.Reader.Read(b)
}

func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	w.Header().Set("Connection", "close")
	http.Error(w, "memoryFull", http.StatusServiceUnavailable)
}
