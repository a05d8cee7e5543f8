package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/serving/claimer"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/serving/recorder"
)

// ReplayHeader is set to "true" on a response that replays the stored answer of
// an earlier request with the same idempotency key.
const ReplayHeader = "Tamarack-Replayed"

// settleTimeout bounds the time for recording how a claimed call ended.
const settleTimeout = 2 * time.Second

// serveWithKey serves a non-idempotent request that has an idempotency key. The
// key is claimed before the first attempt. If it was claimed before, the response
// is the stored answer or a refusal.
func (r *Router) serveWithKey(ctx context.Context, w http.ResponseWriter, req *request) {
	grant, stored, refusal := r.Claims.Begin(ctx, claimer.Request{
		Tenant: req.call.Tenant, Key: req.call.Key, Fingerprint: fingerprint(req.call),
		HomeZone: req.table.HomeZone(req.call.Tenant), Zones: req.table.Bundle.AvailabilityZones,
	})
	if refusal != nil {
		r.refuse(w, req, req.call.ID, refusal)
		return
	}
	if stored != nil {
		r.replay(w, req, stored)
		return
	}
	answer, refusal := r.executeWithRetries(ctx, req)
	if refusal != nil {
		r.settle(grant, claimEnd(refusal), nil)
		r.refuse(w, req, req.call.ID, refusal)
		return
	}
	r.settle(grant, recorder.Ran, bufferForReplay(answer))
	r.respond(w, req, answer)
}

// claimEnd returns the end of the claim of a refused call. The claim is released,
// so that a later request with the key may run the work, only if the work was
// certainly not run.
func claimEnd(refusal *framer.Refusal) recorder.End {
	if refusal.Outcome == framer.NotRun {
		return recorder.Released
	}
	return recorder.Unknown
}

// settle records the end of a claim in the background. The caller does not have
// to wait: until the end is recorded, a request with the same key is refused.
func (r *Router) settle(grant *claimer.Grant, end recorder.End, answer *recorder.StoredAnswer) {
	r.settlements.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		r.Claims.Settle(ctx, grant, end, answer)
	})
}

// bufferForReplay reads a small answer into memory, leaves its body readable and
// returns a copy to store for replays. It returns nil if the answer is longer than
// recorder.MaxStoredBytes, its length is unknown or its body cannot be read.
func bufferForReplay(answer *framer.Answer) *recorder.StoredAnswer {
	if answer.Length < 0 || answer.Length > recorder.MaxStoredBytes {
		return nil
	}
	body, err := io.ReadAll(answer.Body)
	answer.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		return nil
	}
	return &recorder.StoredAnswer{
		Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: body,
	}
}

// replay responds with a stored answer.
func (r *Router) replay(w http.ResponseWriter, req *request, stored *recorder.StoredAnswer) {
	header := http.Header{ReplayHeader: {"true"}}
	if stored.ContentType != "" {
		header.Set("Content-Type", stored.ContentType)
	}
	r.respond(w, req, &framer.Answer{
		Status: stored.Status, Header: header, Length: int64(len(stored.Body)),
		Body: io.NopCloser(bytes.NewReader(stored.Body)),
	})
}

// fingerprint returns a hash of method, target and body. Two requests with the
// same idempotency key must have the same fingerprint.
func fingerprint(call *framer.Call) string {
	digest := sha256.New()
	_, _ = io.WriteString(digest, call.Method+" "+call.Target+"\n")
	_, _ = digest.Write(call.Body)
	return hex.EncodeToString(digest.Sum(nil)[:16])
}
