// Package connector implements keeper.Store as a client of the platform's published
// HTTP/JSON protocol. To support another platform, only this package is replaced.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
)

// Limits of response bodies, in bytes. A value has a megabyte at most, which base64 enlarges by a third. Only
// operators make lists; nodes follow few keys, with small values.
const (
	maxItemBytes  = 2 << 20
	maxWatchBytes = 8 << 20
	maxListBytes  = 64 << 20
)

// maxResponseBytes returns the limit of the response to an operation.
func maxResponseBytes(operation string) int64 {
	switch operation {
	case "list":
		return maxListBytes
	case "watch":
		return maxWatchBytes
	default:
		return maxItemBytes
	}
}

// Config holds the platform's address and the settings of a call.
type Config struct {
	// Address is of the form IP:port.
	Address string
	// Timeout limits one call; a watch gets its wait in addition.
	Timeout time.Duration
	// Observe is called after each call with its operation and result; it may be nil.
	Observe func(operation, result string)
}

// Client implements keeper.Store over HTTP.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client that sends its requests over the given transport.
func New(config Config, transport http.RoundTripper) *Client {
	if config.Observe == nil {
		config.Observe = func(string, string) {}
	}
	return &Client{config: config, http: &http.Client{Transport: transport}}
}

type putBody struct {
	Value    []byte          `json:"value"`
	Expected keeper.Revision `json:"expectedRevision"`
	Lease    keeper.LeaseID  `json:"lease,omitempty"`
}

type leaseBody struct {
	Lease keeper.LeaseID `json:"lease"`
}

type grantBody struct {
	TTLMilliseconds int64 `json:"ttlMilliseconds"`
}

// errorBody is the body of a response with a status other than 200.
type errorBody struct {
	Error    string          `json:"error"`
	Revision keeper.Revision `json:"revision"`
}

// Get implements keeper.Store.
func (c *Client) Get(ctx context.Context, key string) (keeper.Item, error) {
	var item keeper.Item
	err := c.call(ctx, "get", http.MethodGet, "/v1/keys/"+key, nil, &item)
	return item, err
}

// List implements keeper.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]keeper.Item, error) {
	var items []keeper.Item
	err := c.call(ctx, "list", http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil, &items)
	return items, err
}

// Put implements keeper.Store.
func (c *Client) Put(ctx context.Context, r keeper.PutRequest) (keeper.Revision, error) {
	var item keeper.Item
	body := putBody{Value: r.Value, Expected: r.Expected, Lease: r.Lease}
	err := c.call(ctx, "put", http.MethodPut, "/v1/keys/"+r.Key, body, &item)
	if conflict, isConflict := err.(*keeper.ConflictError); isConflict {
		conflict.Expected = r.Expected
	}
	return item.Revision, err
}

// Watch implements keeper.Store.
func (c *Client) Watch(
	ctx context.Context, prefix string, after keeper.Revision, wait time.Duration,
) (keeper.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.config.Timeout)
	defer cancel()
	query := url.Values{
		"prefix":           {prefix},
		"after":            {strconv.FormatInt(int64(after), 10)},
		"waitMilliseconds": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var change keeper.Change
	err := c.exchange(ctx, "watch", http.MethodGet, "/v1/watch?"+query.Encode(), nil, &change)
	return change, err
}

// Grant implements keeper.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error) {
	var granted leaseBody
	err := c.call(ctx, "grant", http.MethodPost, "/v1/leases", grantBody{ttl.Milliseconds()}, &granted)
	return granted.Lease, err
}

// Renew implements keeper.Store.
func (c *Client) Renew(ctx context.Context, lease keeper.LeaseID) error {
	return c.call(ctx, "renew", http.MethodPost, fmt.Sprintf("/v1/leases/%d/renew", lease), nil, nil)
}

// Revoke implements keeper.Store.
func (c *Client) Revoke(ctx context.Context, lease keeper.LeaseID) error {
	return c.call(ctx, "revoke", http.MethodDelete, fmt.Sprintf("/v1/leases/%d", lease), nil, nil)
}

// call makes one HTTP call that is limited by Config.Timeout.
func (c *Client) call(ctx context.Context, operation, method, path string, body, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	return c.exchange(ctx, operation, method, path, body, target)
}

// exchange makes one HTTP call and passes its result to Config.Observe.
func (c *Client) exchange(ctx context.Context, operation, method, path string, body, target any) error {
	err := c.roundTrip(ctx, operation, method, path, body, target)
	c.config.Observe(operation, resultLabel(err))
	return err
}

// roundTrip makes one HTTP call. The request body cannot be rewound, so the transport
// never retries a write by itself.
func (c *Client) roundTrip(ctx context.Context, operation, method, path string, body, target any) error {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = io.NopCloser(bytes.NewReader(encoded))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.config.Address+path, reader)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return &keeper.UnknownOutcomeError{Operation: operation, Cause: err}
	}
	defer response.Body.Close()
	data, err := verifier.ReadBody(response.Body, maxResponseBytes(operation))
	if err != nil {
		return &keeper.UnknownOutcomeError{Operation: operation, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, path, data)
	}
	if target == nil {
		return nil
	}
	if err := json.Unmarshal(data, target); err != nil {
		return &keeper.UnknownOutcomeError{Operation: operation, Cause: err}
	}
	return nil
}

// responseError returns the error for a response with a status other than 200. Its
// key is the path of the request.
func responseError(status int, path string, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		body.Error = http.StatusText(status)
	}
	switch status {
	case http.StatusNotFound:
		return &keeper.NotFoundError{Key: path}
	case http.StatusConflict:
		return &keeper.ConflictError{Key: path, Current: body.Revision}
	default:
		return &keeper.UnavailableError{Reason: fmt.Sprintf("%s (HTTP %d)", body.Error, status)}
	}
}

// resultLabel returns the result that is passed to Config.Observe.
func resultLabel(err error) string {
	switch err.(type) {
	case nil:
		return "ok"
	case *keeper.NotFoundError:
		return "notFound"
	case *keeper.ConflictError:
		return "conflict"
	case *keeper.UnavailableError:
		return "unavailable"
	default:
		return "unknown"
	}
}
