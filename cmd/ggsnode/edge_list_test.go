package ggsnode

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

// Guards against VMs that refuse all requests after all runners have restarted empty and loaded their
// model again, as only the VM that reads the list for the others sees the latter.
func TestAllVMsServeAfterAllRunnersRestartedEmpty(t *testing.T) {
	t.Parallel()
	const within = 5 * time.Second
	s := startSite(t, 4)
	for id, e := range s.site.Endpoints {
		if id == "runner-00" || id == "runner-10" {
			e.RestartInPlace(ggsfakesite.DefaultSoftware)
		}
	}
	deadline := time.Now().Add(within)
	for n := range s.edges {
		r := s.call(n, http.MethodPost, "/chat/x", ggsfakesite.DefaultModel, "Hola")
		for r.status != http.StatusOK && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			r = s.call(n, http.MethodPost, "/chat/x", ggsfakesite.DefaultModel, "Hola")
		}
		s.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("edge %d: %s", n, r.body))
	}
}

// Guards against requests for a base model that are refused for good once new weights of it are named, which no endpoint
// holds.
func TestRequestsForABaseModelAreServedAfterNewWeightsAreNamed(t *testing.T) {
	t.Parallel()
	s := startSite(t, 1)
	s.site.Store.Put("op/version/"+ggsfakesite.DefaultModel, []byte(`{"model":"`+ggsfakesite.DefaultModel+`","version":2}`))
	s.eventually("the edge knows the version", func() bool { return len(s.state(0).Versions) == 1 })
	for range 4 {
		r := s.call(0, http.MethodPost, "/chat/x", ggsfakesite.DefaultModel, "Hola")
		s.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	}
}
