package ggsdocument

import (
	"cmp"
	"slices"
	"strconv"

	ggscore "greengageslip/core"
)

// Build joins sections into the document of a revision and validates the references
// between them. Sections may be in any order. The document shares their contents. Build
// fails with a *SectionError.
func Build(r ggscore.Revision, sections []*Section) (*ggscore.Document, error) {
	d := &ggscore.Document{
		Revision: r,
		Services: map[ggscore.Service]ggscore.ServiceSpec{},
		Markets:  make(map[ggscore.Market]ggscore.MarketSpec, len(sections)),
		Policy:   DefaultPolicy(),
	}
	for _, s := range sections {
		switch {
		case s.Market != nil:
			d.Markets[s.Market.Name] = *s.Market
		case s.Services != nil:
			d.Services = s.Services
		case s.Policy != nil:
			d.Policy = *s.Policy
		}
	}
	// Sections are checked in the order of their names, so that the same one of several
	// failures is reported each time.
	sorted := slices.SortedFunc(slices.Values(sections), func(a, b *Section) int {
		return cmp.Compare(a.Name, b.Name)
	})
	for _, s := range sorted {
		if s.Market == nil {
			continue
		}
		if err := checkMarket(s.Name, s.Market, d.Services); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// checkMarket checks a market's references to services and base models.
func checkMarket(n ggscore.SectionName, m *ggscore.MarketSpec, services map[ggscore.Service]ggscore.ServiceSpec) error {
	served := map[ggscore.BaseModel]bool{}
	missing := ggscore.Service("")
	for u := range m.Uses {
		s, found := services[u]
		if !found && (missing == "" || u < missing) {
			missing = u
		}
		if found && s.Kind == ggscore.KindModel {
			served[s.Base] = true
		}
	}
	if missing != "" {
		k := "uses[" + strconv.Quote(string(missing)) + "].service"
		return &SectionError{Section: n, Key: k, Cause: &DanglingServiceError{Service: missing}}
	}
	unserved := ""
	for a, s := range m.Adapters {
		if !served[s.Base] && (unserved == "" || a < unserved) {
			unserved = a
		}
	}
	if unserved != "" {
		k := "adapters[" + strconv.Quote(unserved) + "].baseModel"
		return &SectionError{Section: n, Key: k, Cause: &UnservedBaseModelError{Base: m.Adapters[unserved].Base}}
	}
	return nil
}
