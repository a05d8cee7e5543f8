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
// executor.WholeBytes. If it is truncated on the way, the call can still be
// retried or refused, since nothing was sent to the caller. A longer answer is
// streamed.
func bufferAnswer(ctx context.Context, answer *framer.Answer) *framer.Refusal {
	if answer.Length < 0 || answer.Length > executor.WholeBytes {
		return nil
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil && ctx.Err() != nil {
		return framer.Doubt(framer.DeadlineExceeded, "the deadline passed before the answer was complete")
	}
	if err != nil {
		return framer.Doubt(framer.PeerBroken, "the answer was truncated: %s", err)
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// endpointFailures holds the codes that count as a failure of the endpoint or of the
// connection to it.
var endpointFailures = map[framer.Code]bool{
	framer.PeerDown: true, framer.PeerBroken: true, framer.UpstreamDown: true,
	framer.WrongEndpoint: true, framer.NodeDraining: true,
}

// classify returns the result of an attempt for the picker, and the refusal for the
// retrier if the attempt failed. An error that is not a refusal is returned as
// PeerBroken with an unknown outcome.
func classify(answer *framer.Answer, err error) (picker.Result, *framer.Refusal) {
	if err == nil {
		return picker.Result{Load: &answer.Load, Worked: answer.Worked}, nil
	}
	var refusal *framer.Refusal
	if !errors.As(err, &refusal) {
		refusal = framer.Doubt(framer.PeerBroken, "%s", err)
	}
	result := picker.Result{Failed: endpointFailures[refusal.Code], Refused: refusal.Code}
	var withLoad *carrier.RefusalWithLoad
	if errors.As(err, &withLoad) {
		result.Load = &withLoad.Load
	}
	return result, refusal
}
