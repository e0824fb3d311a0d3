package ggsnode

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/fakes/ggsfakesite"
	ggsdialect "greengageslip/platform"
)

// Guards against VMs that serve nothing after a restart, because the operators' configuration can't be read and the last
// readable one was in VMs' memory alone.
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
