package ggsfakeengine

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	ggscore "greengageslip/core"
)

// Handler returns the handler of the HTTP API.
func (e *Engine) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	v := g.Group("/v1")
	v.POST("/chat/completions", e.handleCompletion)
	v.POST("/loadLoraAdapter", e.handleLoad)
	v.POST("/unloadLoraAdapter", e.handleUnload)
	v.GET("/state", e.handleState)
	v.GET("/runs", e.handleRuns)
	v.GET("/stats", e.handleStats)
	v.POST("/faults", e.handleFaults)
	return g
}

func (e *Engine) handleFaults(g *gin.Context) {
	var w faultsWire
	if !bind(g, &w) {
		return
	}
	freeze, err := durationOf(w.Freeze)
	if err != nil {
		fail(g, err)
		return
	}
	lag, err := durationOf(w.ReportLag)
	if err != nil {
		fail(g, err)
		return
	}
	if w.Restart {
		e.Restart()
	}
	e.SetFaults(Faults{
		LoadFails:        w.LoadFails,
		LoseOrderAnswers: w.LoseOrderAnswers,
		CutStreamAfter:   w.CutStreamAfter,
		Refuse:           w.Refuse,
		ReportLag:        lag,
	})
	if freeze > 0 {
		e.Freeze(freeze)
	}
	g.JSON(http.StatusOK, w)
}

func (e *Engine) handleLoad(g *gin.Context) { e.order(g, e.load) }

func (e *Engine) handleRuns(g *gin.Context) {
	w := runsWire{Runs: []runWire{}}
	for id, n := range e.Runs() {
		w.Runs = append(w.Runs, runWire{ID: id, Count: n})
	}
	sort.Slice(w.Runs, func(i, j int) bool { return w.Runs[i].ID < w.Runs[j].ID })
	g.JSON(http.StatusOK, w)
}

func (e *Engine) handleState(g *gin.Context) {
	if err := e.waitUnfrozen(g.Request.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	r := e.Report()
	w := reportWire{
		Endpoint:    string(r.Endpoint),
		Incarnation: r.Incarnation,
		Running:     r.Running,
		Resident:    []residentWire{},
		Loading:     []string{},
		At:          r.At,
	}
	for _, a := range r.Resident {
		w.Resident = append(w.Resident, residentWire{Adapter: a.Ref.String(), Running: a.Running})
	}
	for _, a := range r.Loading {
		w.Loading = append(w.Loading, a.String())
	}
	g.JSON(http.StatusOK, w)
}

func (e *Engine) handleStats(g *gin.Context) {
	s := e.Stats()
	g.JSON(http.StatusOK, statsWire{
		Started:        s.Started,
		Done:           s.Done,
		Cancelled:      s.Cancelled,
		BrokenByUnload: s.BrokenByUnload,
		NotLoaded:      s.NotLoaded,
		Loads:          s.Loads,
		LoadFailures:   s.LoadFailures,
		Unloads:        s.Unloads,
		Fenced:         s.Fenced,
		Tokens:         s.Tokens,
		Waiting:        s.Waiting,
		BusySlots:      s.BusySlots.String(),
	})
}

func (e *Engine) handleUnload(g *gin.Context) { e.order(g, e.unload) }

// order decodes an order, passes it to do and writes the answer.
func (e *Engine) order(g *gin.Context, do func(context.Context, ggscore.AdapterRef, ggscore.FencingToken) error) {
	var w orderWire
	if !bind(g, &w) {
		return
	}
	a, err := ggscore.ParseAdapterRef(w.Adapter)
	if err != nil {
		fail(g, err)
		return
	}
	err = do(g.Request.Context(), a, ggscore.FencingToken(w.Fence))
	if err == nil && e.consumeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		fail(g, err)
		return
	}
	g.JSON(http.StatusOK, w)
}

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 8 << 20

func bind(g *gin.Context, out any) bool {
	g.Request.Body = http.MaxBytesReader(g.Writer, g.Request.Body, maxBodyBytes)
	if err := g.ShouldBindJSON(out); err != nil {
		fail(g, err)
		return false
	}
	return true
}

func durationOf(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}

// fail answers with an error. An aborted run or order gets no answer: its connection is
// closed.
func fail(g *gin.Context, err error) {
	var aborted *abortedError
	if errors.As(err, &aborted) {
		panic(http.ErrAbortHandler)
	}
	var r *refusal
	if !errors.As(err, &r) {
		r = &refusal{status: http.StatusBadRequest, kind: kindBadCall, detail: err.Error()}
	}
	w := errorBodyWire{Kind: r.kind, Outcome: r.outcome, Detail: r.detail, Seen: r.fence}
	g.AbortWithStatusJSON(r.status, errorWire{Error: w})
}
