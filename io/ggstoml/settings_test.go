package ggstoml_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggstoml"
)

type testSettings struct {
	Listen netip.AddrPort   `toml:"listen"`
	Wait   ggstoml.Duration `toml:"wait"`
	Peers  []testPeer       `toml:"peers"`
}

type testPeer struct {
	Addr  netip.AddrPort `toml:"addr"`
	Count int            `toml:"count"`
}

func (s *testSettings) Check() error {
	for _, p := range s.Peers {
		if p.Count < 1 {
			return &ggstoml.ValueError{Key: "peers[1].count", Want: "at least 1"}
		}
	}
	return nil
}

func TestReadSettings(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		text string
		want string
	}{
		"valid":        {"listen = \"127.0.0.1:7001\"\nwait = \"5s\"\n", ""},
		"unknown key":  {"listen = \"127.0.0.1:7001\"\nlisten2 = 1\n", `.*s.toml:2: listen2: unknown key`},
		"bad address":  {"wait = \"5s\"\nlisten = \"localhost:7001\"\n", `.*s.toml:2: listen: .*localhost.*`},
		"out of range": {"[[peers]]\ncount = 1\n[[peers]]\ncount = 0\n", `.*s.toml:4: peers\[1\].count: want at least 1`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			p := filepath.Join(t.TempDir(), "s.toml")
			c.Assert(os.WriteFile(p, []byte(tc.text), 0o600), qt.IsNil)
			var s testSettings
			err := ggstoml.ReadSettings(p, &s)
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(s.Listen, qt.Equals, netip.MustParseAddrPort("127.0.0.1:7001"))
				c.Assert(time.Duration(s.Wait), qt.Equals, 5*time.Second)
				return
			}
			var e *ggstoml.DecodeError
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Assert(e, qt.ErrorMatches, tc.want)
		})
	}
}
