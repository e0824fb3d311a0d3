package ggsnode

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengageslip/fakes/ggsfakesite"
)

var startVMs = flag.Int("start.vms", 9, "number of VMs that start beside a configuration that can't be read") //nolint:gochecknoglobals // a flag of the test

// Guards against VMs that start late because the operators' configuration can't be read.
func TestStartBesideAnUnreadableConfiguration(t *testing.T) {
	t.Parallel()
	const margin = time.Second
	s := startSite(t, *startVMs)
	s.eventually("the configuration is recorded", func() bool { return s.recordedConfig() == 1 })
	sound := s.restartAll(t)
	for name, text := range map[string][]byte{
		"whole":   []byte("{"),
		"a route": ggsfakesite.Config(3, "chat"),
	} {
		s.site.Store.Put("op/config", text)
		took := s.restartAll(t)
		t.Logf("%d VMs: ready in %v, beside a configuration of which %s can't be read in %v", *startVMs, sound, name, took)
		s.c.Check(took < sound+margin, qt.IsTrue)
	}
}
