package ggstoml_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"greengageslip/io/ggstoml"
)

func TestSet(t *testing.T) {
	t.Parallel()
	const text = `weight = 3 # three
names = [ "a", ["b]"] ] # two

[[adapters]]
name = "x"
current = 'v1'

[[adapters]] # second
name = "y"
current = "v1"
on = true
inline = { a = 1, b = "}" }`
	for name, tc := range map[string]struct {
		key   string
		value string
		want  string
		err   string
	}{
		"number":            {key: "weight", value: "40", want: "weight = 40 # three\n"},
		"array":             {key: "names", value: `["c"]`, want: "names = [\"c\"] # two\n"},
		"by name":           {key: `adapters["y"].current`, value: "v2", want: "name = \"y\"\ncurrent = \"v2\"\non"},
		"by index":          {key: `adapters[0].current`, value: `"v2"`, want: "name = \"x\"\ncurrent = \"v2\"\n\n"},
		"bool":              {key: `adapters["y"].on`, value: "false", want: "on = false\ninline"},
		"inline table":      {key: `adapters["y"].inline`, value: "1", want: "inline = 1"},
		"duration":          {key: "weight", value: "5s", want: "weight = \"5s\" # three"},
		"injection":         {key: "weight", value: "1\nburst = 2", want: "weight = \"1\\nburst = 2\" # three"},
		"missing key":       {key: "burst", value: "2", want: "burst = 2\nweight = 3"},
		"missing in table":  {key: `adapters["y"].baseModel`, value: "b", want: "# second\nbaseModel = \"b\"\nname = \"y\""},
		"table":             {key: `adapters["y"]`, value: "1", err: `cr:8: adapters\["y"\]: is a table, not a value`},
		"missing table":     {key: `adapters["z"].current`, value: "1", err: `cr: adapters\["z"\].current: no such table`},
		"missing element":   {key: `adapters["z"]`, value: "1", err: `cr: adapters\["z"\]: no such table`},
		"key below a value": {key: `weight.kilos`, value: "1", err: `cr:1: weight.kilos: no such table`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			got, err := ggstoml.Set("cr", []byte(text), tc.key, tc.value)
			if tc.err != "" {
				var e *ggstoml.DecodeError
				c.Assert(errors.As(err, &e), qt.IsTrue)
				c.Assert(e, qt.ErrorMatches, tc.err)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Contains, tc.want)
			var all map[string]any
			c.Assert(ggstoml.DecodeSettings("cr", got, &all), qt.IsNil)
		})
	}
}
