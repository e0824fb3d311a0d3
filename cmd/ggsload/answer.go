package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"greengageslip/core/ggsevent"
)

const (
	headerRequestID = "X-Request-Id"
	headerStall     = "X-Load-Stall"
	endOfStream     = "[DONE]"
)

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"` //nolint:tagliatelle // the name in the OpenAI API
	User      string        `json:"user"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A chatAnswer is a complete answer, or one event of a stream.
type chatAnswer struct {
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Error   *chatError   `json:"error"`
}

type chatChoice struct {
	Delta        chatMessage `json:"delta"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"` //nolint:tagliatelle // the name in the OpenAI API
}

type chatError struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

// A reader reads one answer and records when its chunks arrive.
type reader struct {
	clock func() time.Time
	due   time.Time
	last  time.Time
	body  io.Reader
	got   response
	id    string
	model string
	// text is the content received so far.
	text     strings.Builder
	chunks   int
	finished bool
}

// failure decodes the body of an answer with a status other than 200.
func (r *reader) failure(res *http.Response) response {
	var b chatAnswer
	if err := json.NewDecoder(r.body).Decode(&b); err != nil || b.Error == nil {
		return response{outcome: outcomeUnknown, kind: fmt.Sprintf("status%d", res.StatusCode)}
	}
	return failureOf(b.Error)
}

// failureOf converts an error of the gateway.
func failureOf(e *chatError) response {
	switch o := outcome(e.Outcome); o {
	case outcomeNotRun, outcomeDone:
		return response{outcome: o, kind: e.Type}
	}
	return response{outcome: outcomeUnknown, kind: e.Type}
}

// read reads and checks an answer.
func (r *reader) read(res *http.Response, o *runCommand, q *plannedRequest) response {
	r.id = res.Header.Get(headerRequestID)
	r.model = q.adapter
	if d, err := time.ParseDuration(res.Header.Get(headerStall)); err == nil {
		r.got.stall, r.got.hasStall = d, true
	}
	switch {
	case q.kind.stream:
		return r.stream(o)
	case q.kind.whole:
		return r.whole(o)
	}
	b, err := io.ReadAll(r.body)
	if err != nil {
		return response{outcome: outcomeUnknown, kind: "cut"}
	}
	r.chunk()
	if !json.Valid(b) {
		return wrong("the answer of " + q.kind.operation + " is not valid JSON")
	}
	r.got.outcome = outcomeDone
	return r.got
}

// whole reads and checks an answer that isn't streamed.
func (r *reader) whole(o *runCommand) response {
	b, err := io.ReadAll(r.body)
	if err != nil {
		return response{outcome: outcomeUnknown, kind: "cut"}
	}
	r.chunk()
	var a chatAnswer
	if err := json.Unmarshal(b, &a); err != nil || len(a.Choices) == 0 {
		return wrong("the answer is not a chat completion")
	}
	r.text.WriteString(a.Choices[0].Message.Content)
	r.finished = a.Choices[0].FinishReason != ""
	return r.check(o, a.Model)
}

// stream reads an answer of server-sent events. An answer that ends without its last
// event and without an error event was truncated silently, which is wrong.
func (r *reader) stream(o *runCommand) response {
	model := ""
	s := bufio.NewScanner(r.body)
	s.Buffer(nil, maxAnswerBytes)
	s.Split(ggsevent.ScanLines)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == endOfStream {
			return r.check(o, model)
		}
		var a chatAnswer
		if json.Unmarshal([]byte(data), &a) != nil {
			return wrong("an event is not valid JSON")
		}
		if a.Error != nil {
			return failureOf(a.Error)
		}
		r.chunk()
		model = a.Model
		for _, c := range a.Choices {
			r.text.WriteString(c.Delta.Content)
			r.finished = r.finished || c.FinishReason != ""
		}
	}
	if s.Err() != nil {
		return response{outcome: outcomeUnknown, kind: "cut"}
	}
	return wrong("the stream ended early without an error")
}

// chunk records the arrival of a chunk.
func (r *reader) chunk() {
	now := r.clock()
	if r.chunks == 0 {
		r.got.firstByte = now.Sub(r.due)
	} else {
		r.got.gaps = append(r.got.gaps, now.Sub(r.last))
	}
	r.last = now
	r.chunks++
}

// check compares a complete answer with its request. Each token of a fake engine
// names the adapter, the request and the token's number, so that a missing, repeated
// or foreign token is detected.
func (r *reader) check(o *runCommand, model string) response {
	adapter, _, versioned := strings.Cut(r.model, "@")
	switch {
	case versioned && model != r.model, !strings.HasPrefix(model, adapter+"@"):
		return wrong(fmt.Sprintf("%s answered for %s", model, r.model))
	case !r.finished:
		return wrong("the answer has no finish reason")
	case r.id == "":
		return wrong("the answer has no request id")
	}
	if !o.AnyTokens {
		tokens := strings.Fields(r.text.String())
		if len(tokens) != o.Tokens {
			return wrong(fmt.Sprintf("%d tokens of %d", len(tokens), o.Tokens))
		}
		for i, t := range tokens {
			if want := fmt.Sprintf("%s/%s/%d", model, r.id, i); t != want {
				return wrong(fmt.Sprintf("token %s where %s was expected", t, want))
			}
		}
	}
	r.got.outcome = outcomeDone
	return r.got
}

// wrong returns the response for an answer that violates a guarantee.
func wrong(detail string) response {
	return response{outcome: outcomeWrong, kind: (&wrongAnswerError{detail: detail}).Error()}
}
