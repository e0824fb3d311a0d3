package ggsnode

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakesite"
	ggsdialect "greengageslip/platform"
)

// Guards against VMs that serve nothing after a restart because the operators' configuration can't be read.
func TestLastConfigurationOutlastsAllVMs(t *testing.T) {
	t.Parallel()
	const calls = 10
	sound := string(ggsfakesite.Config(3, "/chat/"))
	for name, text := range map[string]string{
		"deeply nested":         strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"version too large":     strings.Replace(sound, `"version":3`, `"version":99999999999999999999999`, 1),
		"no version":            strings.Replace(sound, `"version":3,`, "", 1),
		"empty":                 "",
		"route of unknown type": strings.Replace(sound, `"unsafe"`, `"sometimes"`, 1),
		"timeout 0":             strings.Replace(sound, `"timeoutMs":1200`, `"timeoutMs":0`, 1),
		"spoiled service":       strings.Replace(sound, `"adapterSlots":4`, `"adapterSlots":-4`, 1),
		"spoiled limits":        strings.Replace(sound, `"maxBodyBytes":65536`, `"maxBodyBytes":-1`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 3)
			s.site.Store.Put("op/config", ggsfakesite.Config(2, "/chat/"))
			s.eventually("the configuration is recorded", func() bool { return s.recordedConfig() == 2 })
			served := func(when string) {
				for n := range s.edges {
					for range calls {
						for _, path := range []string{"/pay/1", "/chat/x", "/look/1"} {
							r := s.call(n, http.MethodPost, path, "", "{}")
							s.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s, edge %d, %s: %s", when, n, path, r.body))
						}
					}
				}
			}
			s.site.Store.Put("op/config", []byte(text))
			for n := range s.edges {
				s.eventually("edge "+strconv.Itoa(n)+" names the entry", func() bool { return len(s.state(n).Unreadable) == 1 })
			}
			served("beside")
			s.edges[2].cancel()
			s.edges[2].done <- <-s.edges[2].done
			s.edges = s.edges[:2]
			s.startEdgeAgain(t, 2)
			s.eventually("the VM is back", func() bool { return s.ready(2) == http.StatusOK })
			served("one restarted")
			s.restartAll(t)
			served("all restarted")
			s.restartAll(t)
			served("all restarted twice")
			s.site.Store.Put("op/config", ggsfakesite.Config(9, "/chat/"))
			for n := range s.edges {
				s.eventually("edge "+strconv.Itoa(n)+" has the next one", func() bool {
					x := s.state(n)
					return x.Config == 9 && len(x.Unreadable) == 0
				})
			}
			served("after the next one")
		})
	}
}

// recordedConfig returns the version of the configuration that VMs have recorded, zero for none.
func (s *siteTest) recordedConfig() uint64 {
	b, err := io.ReadAll(flate.NewReader(bytes.NewReader(s.site.Store.Get("greengageslipLastConfig"))))
	if err != nil {
		return 0
	}
	c, err := ggsdialect.DecodeConfig(ggscore.Entry{Value: b})
	s.c.Assert(err, qt.IsNil)
	return c.Version
}

// Guards against starting VMs that answer 404 for a route that can't be read until they have read its last form.
func TestStartingVMServesNoPartOfAConfiguration(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2)
	s.eventually("the configuration is recorded", func() bool { return s.recordedConfig() == 1 })
	s.site.Store.Put("op/config", bytes.Replace(ggsfakesite.Config(3, "/chat/"), []byte(`"unsafe"`), []byte(`"sometimes"`), 1))
	s.site.Store.DelayLists("greengageslipLastConfig", 600*time.Millisecond)
	s.restartAll(t)
	r := s.call(0, http.MethodPost, "/pay/1", "", "{}")
	s.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
}

// Guards against VMs that serve nothing because the last form of a part that can't be read can't be read either.
func TestPartOfAConfigurationIsServedWithoutARecord(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2)
	s.eventually("the configuration is recorded", func() bool { return s.recordedConfig() == 1 })
	s.site.Store.Put("op/config", bytes.Replace(ggsfakesite.Config(3, "/chat/"), []byte(`"unsafe"`), []byte(`"sometimes"`), 1))
	s.site.Store.DelayLists("greengageslipLastConfig", time.Hour)
	s.restartAll(t)
	r := s.call(0, http.MethodPost, "/chat/x", "", "{}")
	s.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	s.site.Store.DelayLists("greengageslipLastConfig", 0)
	s.eventually("the missing route is served", func() bool {
		return s.call(0, http.MethodPost, "/pay/1", "", "{}").status == http.StatusOK
	})
}

// Guards against VMs that serve nothing after a restart because the configuration was deleted.
func TestLastConfigurationOutlastsItsDeletion(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2)
	s.eventually("the configuration is recorded", func() bool { return s.recordedConfig() == 1 })
	s.site.Store.Delete("op/config")
	s.restartAll(t)
	r := s.call(0, http.MethodPost, "/pay/1", "", "{}")
	s.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
}
