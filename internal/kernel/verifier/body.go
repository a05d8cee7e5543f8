package verifier

import "net/http"

// EndsWithConnection reports whether the body of an answer to a request with the method has no end other
// than that of the connection (RFC 9112, section 6.3).
func EndsWithConnection(r *http.Response, method string) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed && method != http.MethodHead
}
