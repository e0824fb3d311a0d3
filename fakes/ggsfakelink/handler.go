package ggsfakelink

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
)

type faultsWire struct {
	Stall  bool   `json:"stall"`
	Refuse bool   `json:"refuse"`
	Delay  string `json:"delay"`
}

type statsWire struct {
	Conns           uint64 `json:"conns"`
	BytesToTarget   uint64 `json:"bytesToTarget"`
	BytesFromTarget uint64 `json:"bytesFromTarget"`
}

type errorWire struct {
	Error errorBodyWire `json:"error"`
}

type errorBodyWire struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

// Handler returns the HTTP handler that sets faults and returns counters.
func (l *Link) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.POST("/v1/faults", l.handleFaults)
	g.GET("/v1/stats", l.handleStats)
	return g
}

func (l *Link) handleFaults(g *gin.Context) {
	var w faultsWire
	if err := g.ShouldBindJSON(&w); err != nil {
		refuse(g, err)
		return
	}
	f := Faults{Stall: w.Stall, Refuse: w.Refuse}
	if w.Delay != "" {
		d, err := time.ParseDuration(w.Delay)
		if err != nil {
			refuse(g, err)
			return
		}
		f.Delay = d
	}
	l.SetFaults(f)
	g.JSON(http.StatusOK, w)
}

func (l *Link) handleStats(g *gin.Context) { g.JSON(http.StatusOK, statsWire(l.Stats())) }

func refuse(g *gin.Context, err error) {
	w := errorBodyWire{Kind: "badCall", Detail: err.Error()}
	g.AbortWithStatusJSON(http.StatusBadRequest, errorWire{Error: w})
}
