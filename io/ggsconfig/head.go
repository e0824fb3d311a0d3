package ggsconfig

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// HeadKey is the key of the document's head.
const HeadKey ggscore.Key = "config/head"

// sectionsPrefix is the key prefix of the sections' texts.
const sectionsPrefix = "config/sections"

// headWire is the JSON form of a head.
type headWire struct {
	Revision uint64        `json:"revision"`
	Sections []sectionWire `json:"sections"`
	Changes  []changeWire  `json:"changes"`
}

type sectionWire struct {
	Name     string `json:"name"`
	Digest   string `json:"digest"`
	Revision uint64 `json:"revision"`
	By       string `json:"by"`
	Change   string `json:"change"`
}

type changeWire struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	Section  string `json:"section"`
	Replaced string `json:"replaced,omitempty"`
}

// SectionKey returns the key of a section's text.
func SectionKey(d ggscore.Digest) ggscore.Key {
	return ggscore.KeyOf(sectionsPrefix, hex.EncodeToString(d[:]))
}

// EncodeHead encodes a head as JSON compressed with gzip. Each watcher reads the complete
// head at each change, so its size matters.
func EncodeHead(h ggsdocument.Head) []byte {
	w := headWire{
		Revision: uint64(h.Revision),
		Sections: make([]sectionWire, 0, len(h.Sections)),
		Changes:  make([]changeWire, 0, len(h.Changes)),
	}
	for _, n := range slices.Sorted(maps.Keys(h.Sections)) {
		s := h.Sections[n]
		w.Sections = append(w.Sections, sectionWire{
			Name:     string(n),
			Digest:   hex.EncodeToString(s.Digest[:]),
			Revision: uint64(s.Revision),
			By:       s.By,
			Change:   string(s.Change),
		})
	}
	for _, c := range h.Changes {
		x := changeWire{ID: string(c.ID), Revision: uint64(c.Revision), Section: string(c.Section)}
		if c.Replaced != (ggscore.Digest{}) {
			x.Replaced = hex.EncodeToString(c.Replaced[:])
		}
		w.Changes = append(w.Changes, x)
	}
	b, _ := json.Marshal(w) // a struct of strings and numbers always encodes
	return pack(b)
}

// DecodeHead decodes a head. An empty value is the head of an empty document.
func DecodeHead(b []byte) (ggsdocument.Head, error) {
	if len(b) == 0 {
		return ggsdocument.Head{}, nil
	}
	text, err := unpack(b)
	if err != nil {
		return ggsdocument.Head{}, &BadHeadError{Cause: err}
	}
	var w headWire
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err = d.Decode(&w); err != nil {
		return ggsdocument.Head{}, &BadHeadError{Cause: err}
	}
	h := ggsdocument.Head{
		Revision: ggscore.Revision(w.Revision),
		Sections: make(map[ggscore.SectionName]ggsdocument.SectionState, len(w.Sections)),
		Changes:  make([]ggsdocument.AcceptedChange, 0, len(w.Changes)),
	}
	for _, s := range w.Sections {
		digest, err := parseDigest(s.Digest)
		if err != nil {
			return ggsdocument.Head{}, &BadHeadError{Cause: err}
		}
		h.Sections[ggscore.SectionName(s.Name)] = ggsdocument.SectionState{
			Digest:   digest,
			Revision: ggscore.Revision(s.Revision),
			By:       s.By,
			Change:   ggsdocument.ChangeID(s.Change),
		}
	}
	for _, c := range w.Changes {
		var replaced ggscore.Digest
		if c.Replaced != "" {
			if replaced, err = parseDigest(c.Replaced); err != nil {
				return ggsdocument.Head{}, &BadHeadError{Cause: err}
			}
		}
		h.Changes = append(h.Changes, ggsdocument.AcceptedChange{
			ID:       ggsdocument.ChangeID(c.ID),
			Revision: ggscore.Revision(c.Revision),
			Section:  ggscore.SectionName(c.Section),
			Replaced: replaced,
		})
	}
	return h, nil
}

// isNewerHead reports whether a head that can't be decoded has the form of one, with fields that aren't known.
func isNewerHead(b []byte) bool {
	text, err := unpack(b)
	if err != nil {
		return false
	}
	var w headWire
	return json.Unmarshal(text, &w) == nil && w.Revision > 0
}

func parseDigest(s string) (ggscore.Digest, error) {
	var d ggscore.Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, &BadDigestError{Text: s}
	}
	copy(d[:], b)
	return d, nil
}
