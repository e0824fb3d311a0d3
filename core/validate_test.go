package ggscore_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
)

// Guards against an entry whose values are written into keys and headers as they are, or overflow what is computed of them.
func TestInstancesThatCantBeUsed(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		change func(*ggscore.Instance)
		want   string
	}{
		"sound":                {change: func(*ggscore.Instance) {}},
		"longest ID":           {change: func(i *ggscore.Instance) { i.ID = ggscore.EndpointID(strings.Repeat("a", 128)) }},
		"ID with a slash":      {change: func(i *ggscore.Instance) { i.ID = "a/b" }},
		"no time of start":     {change: func(i *ggscore.Instance) { i.StartedAt = time.UnixMilli(0) }},
		"IPv6":                 {change: func(i *ggscore.Instance) { i.Addr = netip.MustParseAddrPort("[fd00::1]:80") }},
		"ID is too long":       {func(i *ggscore.Instance) { i.ID = ggscore.EndpointID(strings.Repeat("a", 129)) }, "id"},
		"ID has a header":      {func(i *ggscore.Instance) { i.ID = "a\r\nHold: x" }, "id"},
		"ID has a space":       {func(i *ggscore.Instance) { i.ID = "a b" }, "id"},
		"ID isn't ASCII":       {func(i *ggscore.Instance) { i.ID = "ä" }, "id"},
		"ID isn't UTF-8":       {func(i *ggscore.Instance) { i.ID = "a\xff" }, "id"},
		"no ID":                {func(i *ggscore.Instance) { i.ID = "" }, "id"},
		"service is too long":  {func(i *ggscore.Instance) { i.Service = ggscore.Service(strings.Repeat("a", 257)) }, "service"},
		"no failure domain":    {func(i *ggscore.Instance) { i.Domain = "" }, "domain"},
		"no software version":  {func(i *ggscore.Instance) { i.Software = "" }, "software"},
		"no slots":             {func(i *ggscore.Instance) { i.Slots = 0 }, "slots"},
		"too many slots":       {func(i *ggscore.Instance) { i.Slots = 1<<16 + 1 }, "slots"},
		"port 0":               {func(i *ggscore.Instance) { i.Addr = netip.MustParseAddrPort("10.0.0.1:0") }, "address"},
		"unspecified address":  {func(i *ggscore.Instance) { i.Addr = netip.MustParseAddrPort("0.0.0.0:80") }, "address"},
		"unspecified, mapped":  {func(i *ggscore.Instance) { i.Addr = netip.MustParseAddrPort("[::ffff:0.0.0.0]:80") }, "address"},
		"multicast address":    {func(i *ggscore.Instance) { i.Addr = netip.MustParseAddrPort("224.0.0.1:80") }, "address"},
		"broadcast address":    {func(i *ggscore.Instance) { i.Addr = netip.MustParseAddrPort("255.255.255.255:80") }, "address"},
		"address with a zone":  {func(i *ggscore.Instance) { i.Addr = netip.MustParseAddrPort("[fe80::1%eth0]:80") }, "address"},
		"starts before 1970":   {func(i *ggscore.Instance) { i.StartedAt = time.UnixMilli(-1) }, "startedAt"},
		"starts in 10000":      {func(i *ggscore.Instance) { i.StartedAt = time.UnixMilli(253402300800000) }, "startedAt"},
		"starts at the latest": {func(i *ggscore.Instance) { i.StartedAt = time.UnixMilli(1<<63 - 1) }, "startedAt"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			i := ggscore.Instance{
				ID: "i-1", Service: "s", Domain: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 1, Software: "v", StartedAt: time.UnixMilli(1),
			}
			tc.change(&i)
			err := i.Validate()
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			var invalid *ggscore.InvalidFieldError
			c.Assert(errors.As(err, &invalid), qt.IsTrue)
			c.Assert(invalid.Field, qt.Equals, tc.want)
		})
	}
}
