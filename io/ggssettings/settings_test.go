package ggssettings_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/core/ggsschedule"
	"greengageslip/io/ggssettings"
)

const good = `vm = "cr-1"
region = "central"
domain = "cr-central-a"
listen = "127.0.0.1:7100"
stateListen = "127.0.0.1:7300"
platform = "127.0.0.1:7000"
`

func TestReadDispatcher(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		text string
		want string
	}{
		"good":            {good, ""},
		"a baseline":      {good + "policy = \"random\"\n", ""},
		"missing name":    {"region = \"central\"\n", `.*vm: want a name`},
		"host name":       {good + "dispatchers = [\"example:7100\"]\n", `.*:7: .*`},
		"no port":         {good + "dispatchers = [\"127.0.0.1:0\"]\n", `.*:7: dispatchers\[0\]: want an IP address with a port.*`},
		"unknown key":     {good + "listn = 1\n", `.*:7: listn: unknown key`},
		"short lease":     {good + "leaseTtl = \"10ms\"\n", `.*:7: leaseTtl: want at least 1s`},
		"unknown policy":  {good + "policy = \"best\"\n", `.*:7: policy: want cost, .*`},
		"bad level":       {good + "logLevel = \"loud\"\n", `.*:7: logLevel: want debug, .*`},
		"negative number": {good + "requestWorkers = -1\n", `.*:7: requestWorkers: want at least 0.*`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			p := filepath.Join(t.TempDir(), "d.toml")
			c.Assert(os.WriteFile(p, []byte(tc.text), 0o600), qt.IsNil)
			s, err := ggssettings.ReadDispatcher(p)
			if tc.want != "" {
				c.Assert(err, qt.ErrorMatches, tc.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(string(s.VM), qt.Equals, "cr-1")
			if name == "a baseline" {
				c.Assert(s.Policy, qt.Equals, ggsschedule.PolicyRandom)
			}
		})
	}
}
