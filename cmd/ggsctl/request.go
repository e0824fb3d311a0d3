package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsevent"
)

const requestLong = `Sends one request through a gateway and prints the answer.

With --model it calls a model service, and the message is the user's. With
--operation it calls a plain service, and the message is the body. A request
with --key runs at most once. --new-key makes a key and shows it on standard
error, so that the request can be repeated with it. The outcome of a failed
request is shown: notRun, done or unknown. An unknown outcome exits with 4.`

// The headers of requests.
const (
	headerMarket  = "X-Market"
	headerService = "X-Service"
	headerKey     = "Idempotency-Key"
	// headerFirstSend marks a key that was never sent before, so that a refusal may
	// have the outcome notRun.
	headerFirstSend = "Idempotency-First-Send"
)

// The lines of a stream of server-sent events.
const (
	eventErrorLine = "event: error"
	dataPrefix     = "data:"
	doneData       = "[DONE]"
)

// maxStreamLineBytes bounds a line of a stream.
const maxStreamLineBytes = 1 << 20

type requestCommand struct {
	Gateway   string `description:"the gateway's address (default: settings)" long:"gateway" value-name:"ADDR"`
	Market    string `description:"the market" long:"market" required:"yes" value-name:"NAME"`
	Service   string `description:"the service" long:"service" required:"yes" value-name:"NAME"`
	Model     string `description:"the adapter, as NAME or NAME@VERSION" long:"model" value-name:"ADAPTER"`
	Operation string `description:"the operation of a plain service" long:"operation" value-name:"NAME"`
	Message   string `description:"the message" long:"message" value-name:"TEXT"`
	Key       string `description:"the idempotency key" long:"key" value-name:"KEY"`
	NewKey    bool   `description:"make an idempotency key and show it" long:"new-key"`
	Stream    bool   `description:"print the answer as it arrives" long:"stream"`
}

type chatWire struct {
	Model    string        `json:"model"`
	Messages []messageWire `json:"messages"`
	Stream   bool          `json:"stream,omitempty"`
}

type messageWire struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choicesWire holds the decoded fields of a complete answer or of one chunk.
type choicesWire struct {
	Choices []struct {
		Message messageWire `json:"message"`
		Delta   messageWire `json:"delta"`
	} `json:"choices"`
}

type failureWire struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (c *requestCommand) run(ctx context.Context, a *app) error {
	if err := c.makeKey(a); err != nil {
		return err
	}
	r, err := c.request(ctx, a)
	if err != nil {
		return err
	}
	s, err := http.DefaultClient.Do(r)
	if err != nil {
		return c.broken(err)
	}
	defer func() { _ = s.Body.Close() }()
	if s.StatusCode != http.StatusOK && s.StatusCode/100 != 2 {
		b, _ := io.ReadAll(s.Body)
		return failureOf(b, s.StatusCode)
	}
	if c.Stream && strings.HasPrefix(s.Header.Get("Content-Type"), "text/event-stream") {
		return c.printStream(a, s.Body)
	}
	b, err := io.ReadAll(s.Body)
	if err != nil {
		return c.broken(err)
	}
	if s.ContentLength < 0 && len(s.TransferEncoding) == 0 && !json.Valid(b) {
		// The answer ended with its connection, which may have broken off.
		return c.broken(io.ErrUnexpectedEOF)
	}
	return a.printf("%s\n", bytes.TrimRight(contentOf(b), "\n"))
}

// broken returns the failure of a call without a complete answer. Its outcome is
// unknown, unless no connection was made.
func (c *requestCommand) broken(err error) error {
	o := ggscore.OutcomeUnknown
	var n *net.OpError
	if errors.As(err, &n) && n.Op == "dial" {
		o = ggscore.OutcomeNotRun
	}
	return &requestError{kind: string(ggscore.FailureBroken), detail: err.Error(), outcome: o.String()}
}

// makeKey makes a key if --new-key is given. It prints the key before the request is
// sent: if it came with the answer, an operator could not repeat a request whose
// answer was lost.
func (c *requestCommand) makeKey(a *app) error {
	if !c.NewKey {
		return nil
	}
	if c.Key != "" {
		return &usageError{detail: "give either --key or --new-key"}
	}
	k, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "making a key")
	}
	c.Key = k.String()
	_, err = fmt.Fprintf(a.streams.err, "key: %s\n", c.Key)
	return err
}

// printStream prints the chunks of a streamed answer. A stream that ends without its
// last event is truncated, and must not be reported as complete.
func (c *requestCommand) printStream(a *app, body io.Reader) error {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxStreamLineBytes)
	s.Split(ggsevent.ScanLines)
	failed := false
	for s.Scan() {
		line := s.Text()
		data, found := strings.CutPrefix(line, dataPrefix)
		data = strings.TrimSpace(data)
		switch {
		case line == eventErrorLine:
			failed = true
		case !found:
		case failed:
			return failureOf([]byte(data), http.StatusOK)
		case data == doneData:
			return a.printf("\n")
		default:
			if err := a.printf("%s", chunkContent([]byte(data))); err != nil {
				return err
			}
		}
	}
	if err := s.Err(); err != nil {
		return c.broken(err)
	}
	return c.broken(io.ErrUnexpectedEOF)
}

func (c *requestCommand) request(ctx context.Context, a *app) (*http.Request, error) {
	addr := a.settings.Gateway
	if c.Gateway != "" {
		g, err := parseAddr("--gateway", c.Gateway)
		if err != nil {
			return nil, err
		}
		addr = g
	}
	if !addr.IsValid() {
		return nil, &usageError{detail: "the gateway's address is missing: give --gateway or --settings"}
	}
	if (c.Model == "") == (c.Operation == "") {
		return nil, &usageError{detail: "give either --model or --operation"}
	}
	path, body := "/v1/services/"+c.Service+"/"+c.Operation, []byte(c.Message)
	if c.Model != "" {
		path = "/v1/chat/completions"
		w := chatWire{Model: c.Model, Messages: []messageWire{{Role: "user", Content: c.Message}}, Stream: c.Stream}
		b, err := json.Marshal(w)
		if err != nil {
			return nil, errors.Wrap(err, "encoding the request")
		}
		body = b
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "making the request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(headerMarket, c.Market)
	r.Header.Set(headerService, c.Service)
	if c.Key != "" {
		r.Header.Set(headerKey, c.Key)
	}
	if c.NewKey {
		r.Header.Set(headerFirstSend, "true")
	}
	return r, nil
}

// contentOf returns the content of a complete answer, or the answer itself if the
// answer has another format.
func contentOf(b []byte) []byte {
	var w choicesWire
	if json.Unmarshal(b, &w) == nil && len(w.Choices) > 0 {
		return []byte(w.Choices[0].Message.Content)
	}
	return b
}

// chunkContent returns the content of one chunk of an answer.
func chunkContent(b []byte) []byte {
	var w choicesWire
	if json.Unmarshal(b, &w) == nil && len(w.Choices) > 0 {
		return []byte(w.Choices[0].Delta.Content)
	}
	return nil
}

// failureOf decodes the failure that a gateway answered with.
func failureOf(b []byte, status int) error {
	var w failureWire
	if err := json.Unmarshal(b, &w); err != nil || w.Error.Type == "" {
		return &requestError{
			kind: string(ggscore.FailureBroken), detail: (&statusError{status: status}).Error(),
			outcome: ggscore.OutcomeUnknown.String(),
		}
	}
	return &requestError{kind: w.Error.Type, detail: w.Error.Message, outcome: w.Error.Outcome}
}
