package ggsshares

import (
	"strconv"
	"strings"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsshare"
)

const (
	prefix     = ggscore.Key("loads/")
	wantedName = "wanted"
)

func keyOf(u ggsshare.Unit) ggscore.Key {
	if u == ggsshare.Wanted {
		return prefix + wantedName
	}
	return prefix + ggscore.Key(strconv.Itoa(int(u)))
}

// unitOf reads a key; ok is false for keys that name no unit.
func unitOf(k ggscore.Key) (u ggsshare.Unit, ok bool) {
	name := strings.TrimPrefix(string(k), string(prefix))
	if name == wantedName {
		return ggsshare.Wanted, true
	}
	n, err := strconv.Atoi(name)
	return ggsshare.Unit(n), err == nil && n >= 0 && keyOf(ggsshare.Unit(n)) == k
}

func recordsOf(all []ggscore.Entry) []ggsshare.Record {
	records := make([]ggsshare.Record, 0, len(all))
	for _, e := range all {
		if u, ok := unitOf(e.Key); ok {
			records = append(records, ggsshare.Record{Unit: u, Revision: e.Revision, Lease: e.Lease})
		}
	}
	return records
}
