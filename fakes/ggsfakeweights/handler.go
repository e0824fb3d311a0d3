package ggsfakeweights

import (
	"net/http"

	"github.com/gin-gonic/gin"

	ggscore "greengageslip/core"
)

type faultsWire struct {
	Speed       float64 `json:"speed"`
	FailureRate float64 `json:"failureRate"`
	FailNext    int     `json:"failNext"`
}

type statsWire struct {
	Loads        uint64 `json:"loads"`
	Failures     uint64 `json:"failures"`
	InTransit    int    `json:"inTransit"`
	MaxInTransit int    `json:"maxInTransit"`
}

type errorWire struct {
	Error errorBodyWire `json:"error"`
}

type errorBodyWire struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
}

// Handler returns the handler of the HTTP API.
func (s *Store) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET(pathWeights, s.handleWeights)
	g.GET("/v1/loads", s.handleLoads)
	g.POST("/v1/faults", s.handleFaults)
	return g
}

func (s *Store) handleFaults(g *gin.Context) {
	var w faultsWire
	if err := g.ShouldBindJSON(&w); err != nil {
		refuse(g, http.StatusBadRequest, err)
		return
	}
	s.SetFaults(Faults(w))
	g.JSON(http.StatusOK, w)
}

func (s *Store) handleLoads(g *gin.Context) {
	g.JSON(http.StatusOK, statsWire(s.Stats()))
}

func (s *Store) handleWeights(g *gin.Context) {
	a, err := ggscore.ParseAdapterRef(g.Query(queryAdapter))
	if err != nil {
		refuse(g, http.StatusBadRequest, err)
		return
	}
	if err := s.Fetch(g.Request.Context(), a); err != nil {
		refuse(g, http.StatusInternalServerError, err)
		return
	}
	g.Status(http.StatusOK)
}

func refuse(g *gin.Context, status int, err error) {
	g.AbortWithStatusJSON(status, errorWire{Error: errorBodyWire{Kind: "failed", Detail: err.Error()}})
}

const (
	pathWeights  = "/v1/weights"
	queryAdapter = "adapter"
)
