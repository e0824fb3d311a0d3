package ggsfakesite

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an entry of a process that is gone, which a restore of the store brought back for good.
func TestRestoredEntryOfAGoneProcessExpires(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := NewSite(SiteOptions{Listen: netip.MustParseAddrPort("127.0.0.1:7000"), Zones: []string{"a"}, Now: func() time.Time { return time.Unix(1000, 0) }})
	s.writeEntry("runner-00")
	b := s.Store.Backup()
	s.Endpoints["runner-00"].SetSoftware("v2")
	s.writeEntry("runner-00")
	c.Assert(s.Store.Get("servers/runner-00"), qt.IsNil)
	s.Restore(b, 0)
	s.writeEntry("runner-00")
	c.Assert(s.Store.Get("servers/runner-00"), qt.IsNil)
	c.Assert(s.Store.Get("servers/runner-00-2"), qt.IsNotNil)
}
