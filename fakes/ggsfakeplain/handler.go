package ggsfakeplain

import (
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/gin-gonic/gin"
)

type faultsWire struct {
	LoseAnswers int    `json:"loseAnswers"`
	Slow        string `json:"slow"`
	Refuse      int    `json:"refuse"`
}

type runWire struct {
	Key     string `json:"key"`
	Request string `json:"request"`
	Count   int    `json:"count"`
}

type runsWire struct {
	Runs []runWire `json:"runs"`
}

type answerWire struct {
	Endpoint string `json:"endpoint"`
	Path     string `json:"path"`
	Key      string `json:"key"`
	Request  string `json:"request"`
	Count    int    `json:"count"`
}

type errorWire struct {
	Error errorBodyWire `json:"error"`
}

type errorBodyWire struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome,omitempty"`
	Detail  string `json:"detail"`
}

// Handler returns the handler of the HTTP API.
func (s *Service) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/v1/runs", s.handleRuns)
	g.POST("/v1/faults", s.handleFaults)
	g.NoRoute(s.handleCall)
	return g
}

// handleCall runs a call. A call that has begun runs to its end, also if its caller
// disconnects.
func (s *Service) handleCall(g *gin.Context) {
	if g.Request.Method != http.MethodPost {
		refuse(g, http.StatusMethodNotAllowed, errorBodyWire{Kind: "badCall", Detail: "method not allowed: calls must use POST"})
		return
	}
	g.Header(headerRequestID, g.GetHeader(headerRequestID))
	if s.consumeRefusal() {
		refuse(g, http.StatusServiceUnavailable, errorBodyWire{Kind: "refused", Outcome: "notRun", Detail: "refused by fault injection (refuse)"})
		return
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(g.Writer, g.Request.Body, maxBodyBytes))
	if err != nil {
		refuse(g, http.StatusRequestEntityTooLarge, errorBodyWire{Kind: "tooLarge", Detail: err.Error()})
		return
	}
	r := Run{Key: g.GetHeader(headerKey), Request: g.GetHeader(headerRequestID)}
	count, lost := s.run(r)
	t := time.NewTimer(s.time())
	defer t.Stop()
	<-t.C
	if lost {
		panic(http.ErrAbortHandler)
	}
	g.JSON(http.StatusOK, answerWire{
		Endpoint: string(s.options.ID),
		Path:     g.Request.URL.Path,
		Key:      r.Key,
		Request:  r.Request,
		Count:    count,
	})
}

func (s *Service) handleFaults(g *gin.Context) {
	var w faultsWire
	if err := g.ShouldBindJSON(&w); err != nil {
		refuse(g, http.StatusBadRequest, errorBodyWire{Kind: "badCall", Detail: err.Error()})
		return
	}
	slow := time.Duration(0)
	if w.Slow != "" {
		d, err := time.ParseDuration(w.Slow)
		if err != nil {
			refuse(g, http.StatusBadRequest, errorBodyWire{Kind: "badCall", Detail: err.Error()})
			return
		}
		slow = d
	}
	s.SetFaults(Faults{LoseAnswers: w.LoseAnswers, Slow: slow, Refuse: w.Refuse})
	g.JSON(http.StatusOK, w)
}

func (s *Service) handleRuns(g *gin.Context) {
	w := runsWire{Runs: []runWire{}}
	for r, n := range s.Runs() {
		w.Runs = append(w.Runs, runWire{Key: r.Key, Request: r.Request, Count: n})
	}
	sort.Slice(w.Runs, func(i, j int) bool {
		if w.Runs[i].Key != w.Runs[j].Key {
			return w.Runs[i].Key < w.Runs[j].Key
		}
		return w.Runs[i].Request < w.Runs[j].Request
	})
	g.JSON(http.StatusOK, w)
}

func refuse(g *gin.Context, status int, w errorBodyWire) {
	g.AbortWithStatusJSON(status, errorWire{Error: w})
}

const (
	headerKey       = "Idempotency-Key"
	headerRequestID = "X-Request-Id"

	// maxBodyBytes limits the body of a call.
	maxBodyBytes = 8 << 20
)
