package commander

import (
	"io"
	"net/http"
)

// maxPageBytes bounds the response of a node.
const maxPageBytes = 4 << 20

// get requests a page of a node at an address of the form IP:port and returns the status and the body of
// the response. A longer body is cut off.
func (s *session) get(address, path string) (int, []byte, error) {
	client := &http.Client{Timeout: s.globals.Timeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	return response.StatusCode, body, err
}
