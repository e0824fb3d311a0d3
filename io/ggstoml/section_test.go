package ggstoml_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
	"greengageslip/io/ggstoml"
)

const servicesText = `[[services]]
name = "asistente"
baseModel = "base-8b"
slots = 8
adapterSlots = 4
checksFence = true

[[services]]
name = "custodia"
kind = "plain"
slots = 16

[[services.operations]]
name = "balance"
method = "GET"
path = "/balance"

[[services.operations]]
name = "release"
method = "POST"
path = "/release"
nonIdempotent = true
`

const marketText = `weight = 3
requestsPerSecond = 50.5
burst = 20

[[adapters]]
name = "deposits-es"
baseModel = "base-8b"
versions = ["v1", "v2"]
current = "v2"

[[uses]]
service = "asistente"
priority = "interactive"
deadline = "5s"
deferrable = "250ms"

[[uses]]
service = "custodia"
priority = "urgent"
deadline = "2s"
`

func TestParseSection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s, err := ggstoml.Codec{}.ParseSection("services", []byte(servicesText))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Services, qt.DeepEquals, map[ggscore.Service]ggscore.ServiceSpec{
		"asistente": {
			Name: "asistente", Base: "base-8b", Slots: 8, AdapterSlots: 4, ChecksFence: true,
			Operations: map[string]ggscore.OperationSpec{},
		},
		"custodia": {
			Name: "custodia", Kind: ggscore.KindPlain, Slots: 16,
			Operations: map[string]ggscore.OperationSpec{
				"balance": {Name: "balance", Operation: ggscore.Operation{Method: "GET", Path: "/balance"}},
				"release": {Name: "release", Operation: ggscore.Operation{Method: "POST", Path: "/release"}, NonIdempotent: true},
			},
		},
	})

	m, err := ggstoml.Codec{}.ParseSection("market/cr", []byte(marketText))
	c.Assert(err, qt.IsNil)
	c.Assert(*m.Market, qt.DeepEquals, ggscore.MarketSpec{
		Name: "cr", Weight: 3, RequestsPerSecond: 50.5, Burst: 20,
		Adapters: map[string]ggscore.AdapterSpec{
			"deposits-es": {Name: "deposits-es", Base: "base-8b", Versions: []ggscore.Version{"v1", "v2"}, Current: "v2"},
		},
		Uses: map[ggscore.Service]ggscore.UseSpec{
			"asistente": {Priority: ggscore.PriorityInteractive, Deadline: 5 * time.Second, Deferrable: 250 * time.Millisecond},
			"custodia":  {Priority: ggscore.PriorityUrgent, Deadline: 2 * time.Second},
		},
	})

	p, err := ggstoml.Codec{}.ParseSection("policy", []byte("stallWeight = 0.9\nloadTime = \"500ms\"\n"))
	c.Assert(err, qt.IsNil)
	want := ggsdocument.DefaultPolicy()
	want.StallWeight = 0.9
	want.LoadTime = 500 * time.Millisecond
	c.Assert(*p.Policy, qt.Equals, want)
}

// Guards against errors without key and line. An operator couldn't find the invalid value in a
// section of thousands of lines.
func TestParseSectionErrorHasKeyAndLine(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		section ggscore.SectionName
		text    string
		want    string
	}{
		"unknown key":       {"policy", "stallWeight = 0.5\nstallWait = 1\n", `policy:2: stallWait: unknown key`},
		"syntax":            {"policy", "stallWeight = 0.5\nloadTime 3\n", `policy:2: .*`},
		"wrong type":        {"policy", "\nloadsInTransit = \"x\"\n", `policy:2: loadsInTransit: .*`},
		"bad duration":      {"policy", "\n\nloadTime = \"fast\"\n", `policy:3: loadTime: bad duration "fast".*`},
		"out of range":      {"policy", "loadTime = \"1s\"\nstallWeight = 1.5\n", `policy:2: stallWeight: 1.5 is out of range: want 0 to 1`},
		"default too large": {"policy", "loadsAtFullSpeed = 50\n", `policy: loadsInTransit: 24 is out of range: want at least 50`},
		"bad priority":      {"market/cr", strings.Replace(marketText, "interactive", "soon", 1), `market/cr:13: uses.priority: bad value "soon".*`},
		"dangling version":  {"market/cr", strings.Replace(marketText, `current = "v2"`, `current = "v3"`, 1), `market/cr:9: adapters\["deposits-es"\].current: version "v3" is not among.*`},
		"missing key":       {"market/cr", strings.Replace(marketText, `baseModel = "base-8b"`, ``, 1), `market/cr:5: adapters\["deposits-es"\].baseModel: must be set`},
		"duplicate name":    {"services", servicesText + "\n[[services]]\nname = \"asistente\"\n", `services:25: services\[2\].name: duplicate name "asistente"`},
		"nested key":        {"services", strings.Replace(servicesText, `"POST"`, `"SEND"`, 1), `services:20: services\["custodia"\].operations\["release"\].method: "SEND" is out of range.*`},
		"version in name":   {"market/cr", strings.Replace(marketText, `"deposits-es"`, `"deposits@es"`, 1), `market/cr:6: adapters\[0\].name: bad name.*`},
		"unknown section":   {"markets", "", `markets: unknown section "markets".*`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			_, err := ggstoml.Codec{}.ParseSection(tc.section, []byte(tc.text))
			var e *ggsdocument.SectionError
			c.Assert(errors.As(err, &e), qt.IsTrue)
			c.Assert(e, qt.ErrorMatches, tc.want)
		})
	}
}
