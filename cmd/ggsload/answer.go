package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	headerRequestID = "X-Request-Id"
	headerStall     = "X-Load-Stall"
	endOfStream     = "[DONE]"
)

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"` //nolint:tagliatelle // the name in the OpenAI shape
	User      string        `json:"user"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A chatAnswer is a whole answer, or one event of a stream.
type chatAnswer struct {
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Error   *chatError   `json:"error"`
}

type chatChoice struct {
	Delta        chatMessage `json:"delta"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"` //nolint:tagliatelle // the name in the OpenAI shape
}

type chatError struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

// A reader reads one answer and notes when its pieces come.
type reader struct {
	clock func() time.Time
	due   time.Time
	last  time.Time
	body  io.Reader
	got   answered
	id    string
	model string
	// text is what has come of the answer.
	text   strings.Builder
	pieces int
	ended  bool
}

// failure reads the body of a refusal.
func (r *reader) failure(res *http.Response) answered {
	var b chatAnswer
	if err := json.NewDecoder(r.body).Decode(&b); err != nil || b.Error == nil {
		return answered{outcome: outcomeUnknown, kind: fmt.Sprintf("status%d", res.StatusCode)}
	}
	return failed(b.Error)
}

// failed maps an error of the gateway's.
func failed(e *chatError) answered {
	switch o := outcome(e.Outcome); o {
	case outcomeNotRun, outcomeDone:
		return answered{outcome: o, kind: e.Type}
	}
	return answered{outcome: outcomeUnknown, kind: e.Type}
}

// read reads and checks an answer.
func (r *reader) read(res *http.Response, o *runCommand, q *planned) answered {
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
		return answered{outcome: outcomeUnknown, kind: "cut"}
	}
	r.piece()
	if !json.Valid(b) {
		return wrong("the answer of " + q.kind.operation + " is no JSON")
	}
	r.got.outcome = outcomeDone
	return r.got
}

// whole reads an answer that isn't streamed.
func (r *reader) whole(o *runCommand) answered {
	b, err := io.ReadAll(r.body)
	if err != nil {
		return answered{outcome: outcomeUnknown, kind: "cut"}
	}
	r.piece()
	var a chatAnswer
	if err := json.Unmarshal(b, &a); err != nil || len(a.Choices) == 0 {
		return wrong("the answer is no chat completion")
	}
	r.text.WriteString(a.Choices[0].Message.Content)
	r.ended = a.Choices[0].FinishReason != ""
	return r.check(o, a.Model)
}

// stream reads an answer of server-sent events. One that ends without its last
// event and without an error event is a silent short answer.
func (r *reader) stream(o *runCommand) answered {
	model := ""
	s := bufio.NewScanner(r.body)
	s.Buffer(nil, maxAnswerBytes)
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
			return wrong("an event is no JSON")
		}
		if a.Error != nil {
			return failed(a.Error)
		}
		r.piece()
		model = a.Model
		for _, c := range a.Choices {
			r.text.WriteString(c.Delta.Content)
			r.ended = r.ended || c.FinishReason != ""
		}
	}
	if s.Err() != nil {
		return answered{outcome: outcomeUnknown, kind: "cut"}
	}
	return wrong("the stream ended early without an error")
}

// piece notes that a piece has come.
func (r *reader) piece() {
	now := r.clock()
	if r.pieces == 0 {
		r.got.firstByte = now.Sub(r.due)
	} else {
		r.got.gaps = append(r.got.gaps, now.Sub(r.last))
	}
	r.last = now
	r.pieces++
}

// check compares a whole answer with what was asked for. A stand-in's tokens
// each name the adapter, the request and their own number, so that a missing,
// repeated or foreign one shows.
func (r *reader) check(o *runCommand, model string) answered {
	asked, _, versioned := strings.Cut(r.model, "@")
	switch {
	case versioned && model != r.model, !strings.HasPrefix(model, asked+"@"):
		return wrong(fmt.Sprintf("%s answered for %s", model, r.model))
	case !r.ended:
		return wrong("the answer has no end")
	case r.id == "":
		return wrong("the answer names no request")
	}
	if !o.AnyTokens {
		tokens := strings.Fields(r.text.String())
		if len(tokens) != o.Tokens {
			return wrong(fmt.Sprintf("%d tokens of %d", len(tokens), o.Tokens))
		}
		for i, t := range tokens {
			if want := fmt.Sprintf("%s/%s/%d", model, r.id, i); t != want {
				return wrong(fmt.Sprintf("token %s where %s was due", t, want))
			}
		}
	}
	r.got.outcome = outcomeDone
	return r.got
}

// wrong returns the end of an answer that breaks a promise.
func wrong(detail string) answered {
	return answered{outcome: outcomeWrong, kind: (&wrongAnswerError{detail: detail}).Error()}
}
