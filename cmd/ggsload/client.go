package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	maxAnswerBytes = 8 << 20
	stateTimeout   = 3 * time.Second
)

// An outcome is what a caller knows about the run of its request.
type outcome string

// The outcomes.
const (
	outcomeDone    outcome = "done"
	outcomeNotRun  outcome = "notRun"
	outcomeUnknown outcome = "unknown"
	// outcomeWrong is an answer that violates a guarantee.
	outcomeWrong outcome = "wrong"
)

// A response is the result of one request as its caller observes it.
type response struct {
	outcome outcome
	// kind is the failure's type, or describes a wrong answer.
	kind      string
	firstByte time.Duration
	// total is the time until the end of the answer.
	total time.Duration
	// stall is the load stall from the answer's header; hasStall reports whether the
	// answer has one.
	stall    time.Duration
	hasStall bool
	gaps     []time.Duration
}

// A client sends requests.
type client struct {
	options  *runCommand
	gateways []netip.AddrPort
	// stateAddrs are the processes whose counters are read.
	stateAddrs []netip.AddrPort
	http       *http.Client
	prompt     string
}

func newClient(r *runCommand) (*client, error) {
	c := &client{options: r, prompt: strings.Repeat("a", r.BodyBytes)}
	for _, s := range r.Gateways {
		a, err := parseAddr("--gateway", s)
		if err != nil {
			return nil, err
		}
		c.gateways = append(c.gateways, a)
	}
	for _, s := range r.States {
		a, err := parseAddr("--state", s)
		if err != nil {
			return nil, err
		}
		c.stateAddrs = append(c.stateAddrs, a)
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: r.Timeout}).DialContext,
		MaxIdleConnsPerHost: r.MaxInFlight,
	}}
	return c, nil
}

func (c *client) close() { c.http.CloseIdleConnections() }

// do sends one request and reads its answer. Times count from when the request was due.
func (c *client) do(ctx context.Context, clock func() time.Time, due time.Time, n int, q *plannedRequest) response {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	req, err := c.request(ctx, clock(), n, q)
	if err != nil {
		return response{outcome: outcomeNotRun, kind: "request"}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return transportFailure(err)
	}
	defer func() { _ = res.Body.Close() }()
	r := &reader{clock: clock, due: due, last: due, body: io.LimitReader(res.Body, maxAnswerBytes)}
	if res.StatusCode != http.StatusOK {
		return r.failure(res)
	}
	a := r.read(res, c.options, q)
	a.total = clock().Sub(due)
	return a
}

func (c *client) request(ctx context.Context, now time.Time, n int, q *plannedRequest) (*http.Request, error) {
	path := "/v1/chat/completions"
	body := chatRequest{
		Model:     q.adapter,
		Stream:    q.kind.stream,
		MaxTokens: c.options.Tokens,
		User:      fmt.Sprintf("ggsload-%d", n),
		Messages:  []chatMessage{{Role: "user", Content: c.prompt}},
	}
	if q.kind.service != "" {
		path = "/v1/services/" + q.kind.service + "/" + q.kind.operation
	}
	b, err := json.Marshal(&body)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the request")
	}
	url := "http://" + c.gateways[q.gateway].String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Market", q.market)
	if c.options.Service != "" {
		req.Header.Set("X-Service", c.options.Service)
	}
	if q.kind.once {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%d.%s", now.Unix(), uuid.NewString()))
	}
	return req, nil
}

// states returns the processes' counters by address. Processes that can't be read are
// left out.
func (c *client) states(ctx context.Context) map[string]json.RawMessage {
	states := map[string]json.RawMessage{}
	for _, a := range c.stateAddrs {
		if b := c.state(ctx, a); json.Valid(b) {
			states[a.String()] = b
		}
	}
	return states
}

// state returns a process's counters, or nil if they can't be read.
func (c *client) state(ctx context.Context, a netip.AddrPort) []byte {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/debug/vars", http.NoBody)
	if err != nil {
		return nil
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil
	}
	vars := struct {
		Counts json.RawMessage `json:"greengageslip"`
	}{}
	if json.Unmarshal(b, &vars) != nil {
		return nil
	}
	return vars.Counts
}

// transportFailure classifies a request without an answer. Only a request whose
// connection was never made is known not to have run.
func transportFailure(err error) response {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return response{outcome: outcomeNotRun, kind: "dial"}
	}
	return response{outcome: outcomeUnknown, kind: "transport"}
}
