// Package console serves the operators' HTTP interface. It runs in the operators'
// command and not in a node, because iris needs half as much memory as a node.
package console

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/tamarackscale/tamarackscale/internal/rollout/decider"
	"github.com/tamarackscale/tamarackscale/internal/rollout/publisher"
)

// Console serves the data that `rollout status`, `rollout history` and `bundle list`
// print, and starts and aborts rollouts. It does not sign versions, since only the
// command line has access to the operator's private key.
type Console struct {
	publisher *publisher.Publisher
	app       *iris.Application
}

// New returns a console; Serve starts it.
func New(p *publisher.Publisher) *Console {
	c := &Console{publisher: p, app: iris.New()}
	c.app.Logger().SetLevel("error")
	c.app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	c.app.Get("/v1/versions", c.versions)
	c.app.Get("/v1/rollout", c.rollout)
	c.app.Post("/v1/rollout", c.start)
	c.app.Delete("/v1/rollout/{version:int64}", c.abort)
	return c
}

// Serve listens on an address of the form IP:port until the context ends. The
// shutdown then takes at most 5 s.
func (c *Console) Serve(ctx context.Context, address string) error {
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = c.app.Shutdown(shutdownCtx)
	}()
	err := c.app.Listen(address, iris.WithoutStartupLog, iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutInterruptHandler)
	return errors.Wrapf(err, "serve on %s", address)
}

// errorResponse is the body of a response with an error status.
type errorResponse struct {
	Error string `json:"error"`
}

// writeError responds with 409 if the state of the rollout or of the version does not
// permit the request, and with 503 for any other error.
func writeError(ctx iris.Context, err error) {
	status := iris.StatusServiceUnavailable
	var active *decider.ActiveError
	var old *decider.OldVersionError
	var unsigned *publisher.NotSignedError
	var moved *publisher.HomeMovedError
	if errors.As(err, &active) || errors.As(err, &old) || errors.As(err, &unsigned) || errors.As(err, &moved) {
		status = iris.StatusConflict
	}
	ctx.StatusCode(status)
	_ = ctx.JSON(errorResponse{Error: err.Error()})
}

func (c *Console) versions(ctx iris.Context) {
	entries, err := c.publisher.Index(ctx.Request().Context())
	if err != nil {
		writeError(ctx, err)
		return
	}
	_ = ctx.JSON(entries)
}

// rolloutState is the body of the response to GET /v1/rollout.
type rolloutState struct {
	Record  decider.Stamped           `json:"record"`
	Reports map[string]decider.Report `json:"reports"`
}

func (c *Console) rollout(ctx iris.Context) {
	record, err := c.publisher.Record(ctx.Request().Context())
	if err != nil {
		writeError(ctx, err)
		return
	}
	reports, err := c.publisher.Reports(ctx.Request().Context())
	if err != nil {
		writeError(ctx, err)
		return
	}
	_ = ctx.JSON(rolloutState{Record: record, Reports: reports})
}

// startRequest is the body of POST /v1/rollout.
type startRequest struct {
	Version             int64          `json:"version"`
	Operator            string         `json:"operator"`
	Unreachable         decider.Policy `json:"unreachable"`
	GraceMilliseconds   int64          `json:"graceMilliseconds"`
	TimeoutMilliseconds int64          `json:"timeoutMilliseconds"`
}

// validate returns why the request is invalid, or an empty string.
func (r startRequest) validate() string {
	switch {
	case r.Version < 1:
		return "version is below 1"
	case r.Operator == "":
		return "operator is empty"
	case r.Unreachable != decider.Wait && r.Unreachable != decider.Proceed:
		return "unreachable is not wait or proceed"
	case r.TimeoutMilliseconds < 1:
		return "timeoutMilliseconds is below 1"
	}
	return ""
}

func (c *Console) start(ctx iris.Context) {
	var request startRequest
	if err := ctx.ReadJSON(&request); err != nil {
		writeBadRequest(ctx, err.Error())
		return
	}
	if reason := request.validate(); reason != "" {
		writeBadRequest(ctx, reason)
		return
	}
	record, err := c.publisher.Start(ctx.Request().Context(), request.Version, decider.Stage{
		Operator: request.Operator, Policy: request.Unreachable,
		Timeout: time.Duration(request.TimeoutMilliseconds) * time.Millisecond,
		Grace:   time.Duration(request.GraceMilliseconds) * time.Millisecond,
	})
	if err != nil {
		writeError(ctx, err)
		return
	}
	_ = ctx.JSON(record)
}

func writeBadRequest(ctx iris.Context, reason string) {
	ctx.StatusCode(iris.StatusBadRequest)
	_ = ctx.JSON(errorResponse{Error: reason})
}

func (c *Console) abort(ctx iris.Context) {
	version, _ := ctx.Params().GetInt64("version")
	operator := ctx.URLParam("operator")
	if operator == "" {
		writeBadRequest(ctx, "query parameter operator is empty")
		return
	}
	record, err := c.publisher.Abort(ctx.Request().Context(), version, operator)
	if err != nil {
		writeError(ctx, err)
		return
	}
	_ = ctx.JSON(record)
}
