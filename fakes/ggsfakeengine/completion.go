package ggsfakeengine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	ggscore "greengageslip/core"
)

// handleCompletion runs a request. The request's ID and priority are in headers.
func (e *Engine) handleCompletion(g *gin.Context) {
	var w completionWire
	if !bind(g, &w) {
		return
	}
	ref, err := ggscore.ParseAdapterRef(w.Model)
	if err != nil {
		fail(g, err)
		return
	}
	id := g.GetHeader(headerRequestID)
	g.Header(headerRequestID, id)
	ctx, endWork := e.beginWork(g.Request.Context())
	defer endWork()
	if e.consumeRefusal() {
		fail(g, &refusal{status: http.StatusServiceUnavailable, kind: kindRefused, outcome: outcomeNotRun, detail: "refused by fault injection (refuse)"})
		return
	}
	if err := e.waitUnfrozen(ctx); err != nil {
		panic(http.ErrAbortHandler)
	}
	// A request without a priority gets 0, the highest one.
	priority, _ := strconv.Atoi(g.GetHeader(headerPriority))
	r, err := e.start(ctx, id, ref, priority)
	if err != nil {
		e.failRun(g, err)
		return
	}
	tokens := w.MaxTokens
	if tokens <= 0 {
		tokens = e.options.DefaultTokens
	}
	err = r.answer(ctx, g, tokens, w.Stream)
	r.end(err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// failRun answers a request that didn't start. An aborted request gets no answer.
func (e *Engine) failRun(g *gin.Context, err error) {
	var refused *refusal
	if !errors.As(err, &refused) {
		panic(http.ErrAbortHandler)
	}
	fail(g, refused)
}

// consumeRefusal reports whether Faults.Refuse applies to a request, and counts it down.
func (e *Engine) consumeRefusal() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse <= 0 {
		return false
	}
	e.faults.Refuse--
	return true
}

// answer generates the tokens and writes the answer.
func (r *run) answer(ctx context.Context, g *gin.Context, tokens int, stream bool) error {
	g.Header(headerServed, r.ref.String())
	if stream {
		g.Header("Content-Type", "text/event-stream")
	}
	var text strings.Builder
	if err := r.wait(ctx, r.engine.options.FirstToken); err != nil {
		return err
	}
	for i := range tokens {
		if i > 0 {
			if err := r.wait(ctx, r.engine.tokenInterval()); err != nil {
				return err
			}
		}
		token := r.token(i)
		if stream {
			if err := r.event(g, token, i == tokens-1); err != nil {
				return err
			}
		}
		text.WriteString(token)
		if err := r.countToken(stream, i+1); err != nil {
			return err
		}
	}
	if !stream {
		g.JSON(http.StatusOK, r.completion(text.String()))
		return nil
	}
	_, err := g.Writer.WriteString("data: [DONE]\n\n")
	return err
}

// countToken counts a token. It returns an error if the stream has reached
// Faults.CutStreamAfter.
func (r *run) countToken(stream bool, tokens int) error {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Tokens++
	if stream && e.faults.CutStreamAfter > 0 && tokens >= e.faults.CutStreamAfter {
		return &abortedError{reason: "stream cut by fault injection (cutStreamAfter)"}
	}
	return nil
}

// event writes one token of a stream as a server-sent event.
func (r *run) event(g *gin.Context, token string, last bool) error {
	c := choiceWire{Delta: &deltaWire{Content: token}}
	if last {
		stop := finishStop
		c.FinishReason = &stop
	}
	w := answerWire{ID: r.id, Object: "chat.completion.chunk", Model: r.ref.String(), Choices: []choiceWire{c}}
	b, err := json.Marshal(w)
	if err != nil {
		return err
	}
	if _, err := g.Writer.WriteString("data: " + string(b) + "\n\n"); err != nil {
		return err
	}
	g.Writer.Flush()
	return nil
}

// token returns the text of a token, which names its adapter, request and index.
func (r *run) token(i int) string {
	return r.ref.String() + "/" + r.id + "/" + strconv.Itoa(i) + " "
}

// completion returns an answer that isn't streamed.
func (r *run) completion(text string) answerWire {
	stop := finishStop
	c := choiceWire{Message: &deltaWire{Content: text}, FinishReason: &stop}
	return answerWire{ID: r.id, Object: "chat.completion", Model: r.ref.String(), Choices: []choiceWire{c}}
}

const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerServed    = "X-Served-Model"
	finishStop      = "stop"
)
