package ggsnode

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

const (
	secondModel = "n"
	// secondModelRunner holds the second model, and the other three the first one.
	secondModelRunner = "runner-11"
	// modelBackTime bounds the time until a model is served again after its runner is back, and modelReplacedTime that after
	// its runner was lost for good.
	modelBackTime     = 5 * time.Second
	modelReplacedTime = 25 * time.Second
	modelCalls        = 10
)

// Guards against a model that nothing loads again after its only runner has crashed or was lost for good.
func TestSecondModelIsLoadedAgainAfterItsOnlyRunnerCrashed(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		fault  func(s *siteTest)
		within time.Duration
	}{
		"another process is back": {fault: func(s *siteTest) { s.site.Endpoints[secondModelRunner].Replace() }, within: modelBackTime},
		"lost for good":           {fault: func(s *siteTest) { s.site.Lose(secondModelRunner) }, within: modelReplacedTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startModelsTest(t)
			tc.fault(s)
			s.eventually("the model isn't served any more", func() bool { return s.callModel(secondModel) == 0 })
			begun := time.Now()
			served := func() bool { return s.callModel(secondModel) == modelCalls }
			for !served() && time.Since(begun) < tc.within {
				time.Sleep(50 * time.Millisecond)
			}
			s.c.Logf("served after %s", time.Since(begun))
			s.c.Check(served(), qt.IsTrue)
			s.c.Check(s.callModel(ggsfakesite.DefaultModel), qt.Equals, modelCalls)
			for id, e := range s.site.Endpoints {
				s.c.Check(e.Overfull(), qt.IsFalse, qt.Commentf("%s was ordered to load more than it holds", id))
			}
		})
	}
}

// Guards against runners that keep a model which their service doesn't have any more, beside which no other fits.
func TestRunnersTakeTheModelsOfANewConfiguration(t *testing.T) {
	t.Parallel()
	s := startModelsTest(t)
	const third = "o"
	s.site.Store.Put("op/config", ggsfakesite.ConfigOfModels(3, third))
	s.eventually("the new model is served", func() bool {
		time.Sleep(50 * time.Millisecond)
		return s.callModel(third) == modelCalls
	})
	for id, e := range s.site.Endpoints {
		s.c.Check(e.Overfull(), qt.IsFalse, qt.Commentf("%s was ordered to load more than it holds", id))
	}
}

// startModelsTest starts two edges and four runners of two models.
func startModelsTest(t *testing.T) *siteTest {
	t.Helper()
	s := startSiteOptions(t, 2, ggsfakesite.SiteOptions{Runners: 2}, func(s *siteTest, n int) {
		if n == 0 {
			s.site.Endpoints[secondModelRunner].SetModel(secondModel)
			s.site.Store.Put("op/config", ggsfakesite.ConfigOfModels(2, ggsfakesite.DefaultModel, secondModel))
		}
		s.startEdge(t, n)
	})
	s.eventually("both models are served", func() bool {
		return s.callModel(ggsfakesite.DefaultModel) == modelCalls && s.callModel(secondModel) == modelCalls
	})
	return s
}

// callModel calls an adapter of a model at both edges, and returns how many calls were served.
func (s *siteTest) callModel(model string) int {
	served := 0
	for n := range modelCalls {
		r := s.call(n%2, http.MethodPost, "/tell/1", model+"/a1", "{}")
		served += okCount(r.status == http.StatusOK && r.complete)
	}
	return served
}
