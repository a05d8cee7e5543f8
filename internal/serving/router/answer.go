package router

import (
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/tamarackscale/tamarackscale/internal/serving/carrier"
	"github.com/tamarackscale/tamarackscale/internal/serving/executor"
	"github.com/tamarackscale/tamarackscale/internal/serving/framer"
	"github.com/tamarackscale/tamarackscale/internal/serving/picker"
)

// bufferAnswer reads an answer of another node into memory if it has at most
// executor.MaxBufferedBytes. If it is truncated on the way, the call can still be
// retried or refused, since nothing was sent to the caller. An answer that is longer
// or of unknown length is streamed.
func bufferAnswer(ctx context.Context, answer *framer.Answer) *framer.Refusal {
	if answer.Length < 0 || answer.Length > executor.MaxBufferedBytes {
		return nil
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil && ctx.Err() != nil {
		return framer.RefuseUnknown(framer.DeadlineExceeded, "the deadline passed before the answer was complete")
	}
	if err != nil {
		return framer.RefuseUnknown(framer.PeerAnswerBroken, "the answer was truncated: %s", err)
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// endpointFailures holds the codes that count as a failure of the endpoint or of the
// connection to it.
var endpointFailures = map[framer.Code]bool{
	framer.PeerUnreachable: true, framer.PeerAnswerBroken: true, framer.UpstreamUnreachable: true,
	framer.WrongEndpoint: true, framer.NodeDraining: true,
}

// classify returns the result of an attempt for the picker, and the refusal for the
// retrier if the attempt failed. An error that is not a refusal is returned as
// PeerAnswerBroken with an unknown outcome.
func classify(answer *framer.Answer, err error) (picker.Result, *framer.Refusal) {
	if err == nil {
		return picker.Result{Load: &answer.Load, UpstreamTime: answer.UpstreamTime}, nil
	}
	var refusal *framer.Refusal
	if !errors.As(err, &refusal) {
		refusal = framer.RefuseUnknown(framer.PeerAnswerBroken, "%s", err)
	}
	result := picker.Result{Failed: endpointFailures[refusal.Code], Refused: refusal.Code}
	var withLoad *carrier.RefusalWithLoad
	if errors.As(err, &withLoad) {
		result.Load = &withLoad.Load
	}
	return result, refusal
}
