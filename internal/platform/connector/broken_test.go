package connector_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
	"github.com/tamarackscale/tamarackscale/internal/platform/connector"
	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// patience bounds the waits for a response. No check depends on it.
const patience = 30 * time.Second

// checkUnknown checks that the outcome of a read, a write and a renewal is unknown if the platform answers all so.
func checkUnknown(t *testing.T, answer answers.Handler) {
	c := connector.New(connector.Config{Address: answers.Start(t, answer), Timeout: patience}, verifier.New(&http.Transport{}))
	_, putErr := c.Put(context.Background(), keeper.PutRequest{Key: "key", Value: []byte("1")})
	_, getErr := c.Get(context.Background(), "key")
	for operation, err := range map[string]error{"get": getErr, "put": putErr, "renew": c.Renew(context.Background(), 1)} {
		var unknown *keeper.UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Errorf("%s: %v", operation, err)
		}
	}
}

// See the test of the same name for the metadata store.
func TestBrokenResponseLeavesOutcomeUnknown(t *testing.T) {
	for _, answer := range answers.Broken("") {
		t.Run(answer.Name, func(t *testing.T) { checkUnknown(t, answers.Sending(answer.Text)) })
	}
	for _, stream := range answers.Endless("") {
		t.Run("endless: "+stream.Name, func(t *testing.T) {
			var sent atomic.Int64
			checkUnknown(t, stream.Handle(&sent))
		})
	}
}
