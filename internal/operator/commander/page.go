package commander

import "github.com/tamarackscale/tamarackscale/internal/kernel/verifier"

// maxPageBytes limits the body of a node's response.
const maxPageBytes = 4 << 20

// get requests a page of a node at an address of the form IP:port and returns the status and the body of
// the response. The error is that of the verifier or the client.
func (s *session) get(address, path string) (int, []byte, error) {
	response, err := s.client.Get("http://" + address + path)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := verifier.ReadBody(response.Body, maxPageBytes)
	return response.StatusCode, body, err
}
