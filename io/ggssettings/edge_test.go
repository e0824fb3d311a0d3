package ggssettings_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/io/ggssettings"
)

// Guards against a misspelt mechanism that is ignored. An operator would then measure with the
// mechanism still switched on.
func TestReadPolicy(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		text string
		off  []ggscore.Mechanism
		want string
	}{
		"empty":       {text: ""},
		"two off":     {text: "off = [\"turns\", \"homes\"]\n", off: []ggscore.Mechanism{ggscore.MechanismTurns, ggscore.MechanismHomes}},
		"misspelt":    {text: "# a trial\noff = [\"turn\"]\n", want: `.*:2: off\[0\]: want one of turns, .*`},
		"unknown key": {text: "of = []\n", want: `.*:1: of: unknown key`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			p := filepath.Join(t.TempDir(), "policy.toml")
			c.Assert(os.WriteFile(p, []byte(tc.text), 0o600), qt.IsNil)
			got, err := ggssettings.ReadPolicy(p)
			if tc.want != "" {
				c.Assert(err, qt.ErrorMatches, tc.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(got.Off, qt.DeepEquals, tc.off)
			c.Assert(got.On(ggscore.MechanismTurns), qt.Equals, len(tc.off) == 0)
			c.Assert(got.On(ggscore.MechanismRegions), qt.IsTrue)
		})
	}
}
