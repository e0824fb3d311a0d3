package ggstoml

import (
	"strings"
	"time"
	"unique"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// The texts of priorities and service kinds.
const (
	textUrgent      = "urgent"
	textInteractive = "interactive"
	textNormal      = "normal"
	textDeferrable  = "deferrable"
	textModel       = "model"
	textPlain       = "plain"
)

// A Codec parses sections of the document.
type Codec struct{}

type marketWire struct {
	Weight            int           `toml:"weight"`
	RequestsPerSecond float64       `toml:"requestsPerSecond"`
	Burst             int           `toml:"burst"`
	Adapters          []adapterWire `toml:"adapters"`
	Uses              []useWire     `toml:"uses"`
}

type adapterWire struct {
	Name      string   `toml:"name"`
	BaseModel string   `toml:"baseModel"`
	Versions  []string `toml:"versions"`
	Current   string   `toml:"current"`
}

type useWire struct {
	Service    string        `toml:"service"`
	Priority   *priorityWire `toml:"priority"`
	Deadline   Duration      `toml:"deadline"`
	Deferrable Duration      `toml:"deferrable"`
}

type servicesWire struct {
	Services []serviceWire `toml:"services"`
}

type serviceWire struct {
	Name         string          `toml:"name"`
	Kind         kindWire        `toml:"kind"`
	BaseModel    string          `toml:"baseModel"`
	Slots        int             `toml:"slots"`
	AdapterSlots int             `toml:"adapterSlots"`
	ChecksFence  bool            `toml:"checksFence"`
	Operations   []operationWire `toml:"operations"`
}

type operationWire struct {
	Name          string `toml:"name"`
	Method        string `toml:"method"`
	Path          string `toml:"path"`
	NonIdempotent bool   `toml:"nonIdempotent"`
}

type policyWire struct {
	StallWeight               float64  `toml:"stallWeight"`
	LoadsPerSecond            float64  `toml:"loadsPerSecond"`
	LoadsAtFullSpeed          int      `toml:"loadsAtFullSpeed"`
	LoadsInTransit            int      `toml:"loadsInTransit"`
	LoadTime                  Duration `toml:"loadTime"`
	CrossRegionPrice          Duration `toml:"crossRegionPrice"`
	CrossRegionBytesPerSecond float64  `toml:"crossRegionBytesPerSecond"`
	KeyRetention              Duration `toml:"keyRetention"`
	MaxBodyBytes              int      `toml:"maxBodyBytes"`
}

// A priorityWire is a priority decoded from text.
type priorityWire ggscore.Priority

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *priorityWire) UnmarshalText(text []byte) error {
	switch string(text) {
	case textUrgent:
		*p = priorityWire(ggscore.PriorityUrgent)
	case textInteractive:
		*p = priorityWire(ggscore.PriorityInteractive)
	case textNormal:
		*p = priorityWire(ggscore.PriorityNormal)
	case textDeferrable:
		*p = priorityWire(ggscore.PriorityDeferrable)
	default:
		return &BadChoiceError{Text: string(text), Want: "urgent, interactive, normal or deferrable"}
	}
	return nil
}

// A kindWire is a service kind decoded from text. The zero value is the kind model.
type kindWire ggscore.ServiceKind

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *kindWire) UnmarshalText(text []byte) error {
	switch string(text) {
	case textModel:
		*k = kindWire(ggscore.KindModel)
	case textPlain:
		*k = kindWire(ggscore.KindPlain)
	default:
		return &BadChoiceError{Text: string(text), Want: "model or plain"}
	}
	return nil
}

var _ ggsdocument.SectionParser = Codec{}

// ParseSection parses and validates a section's text. Its failures are
// *ggsdocument.SectionError with key and line.
func (c Codec) ParseSection(n ggscore.SectionName, text []byte) (*ggsdocument.Section, error) {
	if err := ggsdocument.CheckSectionName(n); err != nil {
		return nil, &ggsdocument.SectionError{Section: n, Cause: err}
	}
	if len(text) > ggsdocument.MaxSectionBytes {
		e := &TooLargeError{Bytes: len(text), Limit: ggsdocument.MaxSectionBytes}
		return nil, &ggsdocument.SectionError{Section: n, Cause: e}
	}
	s, err := parseSection(n, text)
	var d *DecodeError
	if errors.As(err, &d) {
		err = &ggsdocument.SectionError{Section: n, Key: d.Key, Line: d.Line, Cause: d.Cause}
	}
	return s, WithLine(err, n, text)
}

// WithLine adds the line to a *ggsdocument.SectionError of section n, whose text is given.
// It returns other errors unchanged.
func WithLine(err error, n ggscore.SectionName, text []byte) error {
	var e *ggsdocument.SectionError
	if !errors.As(err, &e) || e.Line > 0 || e.Section != n {
		return err
	}
	w := *e
	w.Line = locate(text, e.Key)
	return &w
}

// parseSection decodes and validates a text. Its failures may lack the line.
func parseSection(n ggscore.SectionName, text []byte) (*ggsdocument.Section, error) {
	switch n {
	case ggsdocument.SectionServices:
		var w servicesWire
		if err := decodeStrict(string(n), text, &w); err != nil {
			return nil, err
		}
		return ggsdocument.NewServicesSection(w.sources())
	case ggsdocument.SectionPolicy:
		w := policyWireOf(ggsdocument.DefaultPolicy())
		if err := decodeStrict(string(n), text, &w); err != nil {
			return nil, err
		}
		return ggsdocument.NewPolicySection(w.spec())
	default:
		w := marketWire{Weight: 1}
		if err := decodeStrict(string(n), text, &w); err != nil {
			return nil, err
		}
		return ggsdocument.NewMarketSection(n, w.source())
	}
}

func (w *marketWire) source() ggsdocument.MarketSource {
	s := ggsdocument.MarketSource{
		Weight:            w.Weight,
		RequestsPerSecond: w.RequestsPerSecond,
		Burst:             w.Burst,
		Adapters:          make([]ggscore.AdapterSpec, 0, len(w.Adapters)),
		Uses:              make([]ggsdocument.UseSource, 0, len(w.Uses)),
	}
	in := newInterner()
	for _, a := range w.Adapters {
		s.Adapters = append(s.Adapters, ggscore.AdapterSpec{
			Name:     a.Name,
			Base:     ggscore.BaseModel(in.text(a.BaseModel)),
			Versions: in.versions(a.Versions),
			Current:  ggscore.Version(in.text(a.Current)),
		})
	}
	for _, u := range w.Uses {
		s.Uses = append(s.Uses, ggsdocument.UseSource{
			Service: ggscore.Service(u.Service),
			Use: ggscore.UseSpec{
				Priority:   u.priority(),
				Deadline:   time.Duration(u.Deadline),
				Deferrable: time.Duration(u.Deferrable),
			},
		})
	}
	return s
}

// priority returns the priority, or PriorityNormal if none is set.
func (w *useWire) priority() ggscore.Priority {
	if w.Priority == nil {
		return ggscore.PriorityNormal
	}
	return ggscore.Priority(*w.Priority)
}

func (w *servicesWire) sources() []ggsdocument.ServiceSource {
	l := make([]ggsdocument.ServiceSource, 0, len(w.Services))
	for _, s := range w.Services {
		operations := make([]ggscore.OperationSpec, 0, len(s.Operations))
		for _, o := range s.Operations {
			operations = append(operations, ggscore.OperationSpec{
				Name:          o.Name,
				Operation:     ggscore.Operation{Method: o.Method, Path: o.Path},
				NonIdempotent: o.NonIdempotent,
			})
		}
		l = append(l, ggsdocument.ServiceSource{
			Spec: ggscore.ServiceSpec{
				Name:         ggscore.Service(s.Name),
				Kind:         ggscore.ServiceKind(s.Kind),
				Base:         ggscore.BaseModel(s.BaseModel),
				Slots:        s.Slots,
				AdapterSlots: s.AdapterSlots,
				ChecksFence:  s.ChecksFence,
			},
			Operations: operations,
		})
	}
	return l
}

func policyWireOf(p ggscore.PolicySpec) policyWire {
	return policyWire{
		StallWeight:               p.StallWeight,
		LoadsPerSecond:            p.LoadsPerSecond,
		LoadsAtFullSpeed:          p.LoadsAtFullSpeed,
		LoadsInTransit:            p.LoadsInTransit,
		LoadTime:                  Duration(p.LoadTime),
		CrossRegionPrice:          Duration(p.CrossRegionPrice),
		CrossRegionBytesPerSecond: p.CrossRegionBytesPerSecond,
		KeyRetention:              Duration(p.KeyRetention),
		MaxBodyBytes:              p.MaxBodyBytes,
	}
}

func (w *policyWire) spec() ggscore.PolicySpec {
	return ggscore.PolicySpec{
		StallWeight:               w.StallWeight,
		LoadsPerSecond:            w.LoadsPerSecond,
		LoadsAtFullSpeed:          w.LoadsAtFullSpeed,
		LoadsInTransit:            w.LoadsInTransit,
		LoadTime:                  time.Duration(w.LoadTime),
		CrossRegionPrice:          time.Duration(w.CrossRegionPrice),
		CrossRegionBytesPerSecond: w.CrossRegionBytesPerSecond,
		KeyRetention:              time.Duration(w.KeyRetention),
		MaxBodyBytes:              w.MaxBodyBytes,
	}
}

// An interner deduplicates texts and lists of versions. The same base model or list of
// versions recurs in tens of thousands of adapters.
type interner struct {
	lists map[string][]ggscore.Version
}

func newInterner() *interner {
	return &interner{lists: map[string][]ggscore.Version{}}
}

// text returns the canonical copy of a text in this process.
func (in *interner) text(s string) string { return unique.Make(s).Value() }

// versions returns the canonical copy of a list of versions in this section.
func (in *interner) versions(l []string) []ggscore.Version {
	k := strings.Join(l, "\x00")
	if v, found := in.lists[k]; found {
		return v
	}
	v := make([]ggscore.Version, 0, len(l))
	for _, s := range l {
		v = append(v, ggscore.Version(in.text(s)))
	}
	in.lists[k] = v
	return v
}
