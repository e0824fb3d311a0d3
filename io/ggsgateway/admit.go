package ggsgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsbudget"
	"greengageslip/core/ggsclaim"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggsconn"
	"greengageslip/io/ggsintake"
)

const (
	headerMarket    = "X-Market"
	headerService   = "X-Service"
	headerFirstSend = "Idempotency-First-Send"
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"
	headerStall     = "X-Load-Stall"
	headerServed    = "X-Served-Model"

	defaultMaxBodyBytes = 1 << 20
	defaultDeadline     = 30 * time.Second
	// bodyTimeout bounds the arrival of a body.
	bodyTimeout = defaultDeadline
	// fullRetryAfter is sent when this gateway is short of memory or places in flight.
	fullRetryAfter = time.Second
)

// admitChat reads and resolves a request to a model service.
func (g *Gateway) admitChat(c *gin.Context, d *ggscore.Document) (*ggscore.Request, *ggscore.Failure) {
	body, f := g.readBody(c, d)
	if f != nil {
		return nil, f
	}
	var b chatBody
	if json.Unmarshal(body, &b) != nil || b.Model == "" {
		return nil, badRequest("the body must be a JSON object with the member model")
	}
	service := ggscore.Service(c.GetHeader(headerService))
	if service == "" {
		service = g.options.DefaultService
	}
	s, err := ggsdocument.Resolve(d, ggscore.Market(c.GetHeader(headerMarket)), service, b.Model)
	if err != nil {
		return nil, resolveFailure(err)
	}
	model, err := json.Marshal(s.Adapter.String())
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if body, err = replaceModel(body, model); err != nil {
		return nil, badRequest(err.Error())
	}
	r := g.request(c, &s, body)
	r.Stream = b.Stream
	r.Operation = ggscore.Operation{Method: http.MethodPost, Path: "/v1/chat/completions"}
	return r, g.setKey(c, r, false)
}

// admitCall reads and resolves a request to a plain service.
func (g *Gateway) admitCall(c *gin.Context, d *ggscore.Document) (*ggscore.Request, *ggscore.Failure) {
	body, f := g.readBody(c, d)
	if f != nil {
		return nil, f
	}
	s, err := ggsdocument.ResolveOperation(d, ggscore.Market(c.GetHeader(headerMarket)),
		ggscore.Service(c.Param("service")), c.Param("operation"))
	if err != nil {
		return nil, resolveFailure(err)
	}
	r := g.request(c, &s, body)
	r.Operation = s.Operation.Operation
	return r, g.setKey(c, r, s.Operation.NonIdempotent)
}

func (g *Gateway) request(c *gin.Context, s *ggsdocument.Resolution, body []byte) *ggscore.Request {
	budget := s.Use.Deadline
	if budget == 0 {
		budget = defaultDeadline
	}
	return &ggscore.Request{
		ID: ggscore.RequestID(c.GetString(headerRequestID)), Market: s.Market,
		Service: s.Service.Name, Kind: s.Service.Kind, Base: s.Service.Base,
		Adapter: s.Adapter, Priority: s.Use.Priority,
		Arrived: g.parts.Clock(), Budget: budget, Deferrable: s.Use.Deferrable,
		Revision: s.Revision, Body: body,
	}
}

// setKey copies the idempotency key from the header to the request. A non-idempotent
// call without a key is refused, because it would run twice if the caller repeated it.
func (g *Gateway) setKey(c *gin.Context, r *ggscore.Request, required bool) *ggscore.Failure {
	k := c.GetHeader(headerKey)
	switch {
	case k == "" && required:
		return badRequest("a non-idempotent operation needs the header " + headerKey)
	case k == "":
		return nil
	}
	if _, err := ggsclaim.ParseKey(r.Market, ggscore.IdempotencyKey(k), time.Time{}); err != nil {
		return badRequest(err.Error())
	}
	r.Key = ggscore.IdempotencyKey(k)
	r.NonIdempotent = true
	r.FirstSend = c.GetHeader(headerFirstSend) == "true"
	return nil
}

// readBody reads the request's body. It stops when the request's context ends.
func (g *Gateway) readBody(c *gin.Context, d *ggscore.Document) ([]byte, *ggscore.Failure) {
	limit := int64(d.Policy.MaxBodyBytes)
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	if c.Request.ContentLength > limit {
		return nil, &ggscore.Failure{Kind: ggscore.FailureTooLarge, Outcome: ggscore.OutcomeNotRun, Detail: "the body is too large"}
	}
	ctx := c.Request.Context()
	arrival, cancel := context.WithTimeout(ctx, bodyTimeout)
	defer cancel()
	stop := ggsconn.InterruptReads(arrival, c.Writer)
	b, err := ggsintake.ReadAll(ctx, http.MaxBytesReader(c.Writer, c.Request.Body, limit), c.Request.ContentLength)
	stop()
	if m := (*http.MaxBytesError)(nil); errors.As(err, &m) {
		return nil, &ggscore.Failure{Kind: ggscore.FailureTooLarge, Outcome: ggscore.OutcomeNotRun, Detail: "the body is too large"}
	}
	if err != nil {
		c.Header("Connection", "close")
	}
	if full, interrupted := (*ggsbudget.FullError)(nil), (*ggsintake.InterruptedError)(nil); errors.As(err, &full) || errors.As(err, &interrupted) {
		return nil, fullFailure(err)
	}
	if err != nil && ctx.Err() != nil {
		return nil, g.unsent(ctx, c)
	}
	if err != nil {
		return nil, badRequest("the request body could not be read")
	}
	return b, nil
}

func badRequest(detail string) *ggscore.Failure {
	return &ggscore.Failure{Kind: ggscore.FailureBadRequest, Outcome: ggscore.OutcomeNotRun, Detail: detail}
}

func resolveFailure(err error) *ggscore.Failure {
	f := &ggscore.Failure{Kind: ggscore.FailureBadRequest, Outcome: ggscore.OutcomeNotRun, Detail: err.Error()}
	var (
		m *ggsdocument.UnknownMarketError
		a *ggsdocument.UnknownAdapterError
		s *ggsdocument.UnknownServiceError
		o *ggsdocument.UnknownOperationError
	)
	switch {
	case errors.As(err, &m):
		f.Kind = ggscore.FailureUnknownMarket
	case errors.As(err, &a):
		f.Kind = ggscore.FailureUnknownAdapter
	case errors.As(err, &s), errors.As(err, &o):
		f.Kind = ggscore.FailureUnknownService
	}
	return f
}

func newRequestID() string {
	return strings.ReplaceAll(uuid.Must(uuid.NewV7()).String(), "-", "")
}
