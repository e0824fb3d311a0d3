package ggsnode

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// spoiledValues are values that can't be read, or that name what can't be.
func spoiledValues() []string {
	return []string{
		"", "]", "null", "7", `"text"`, "[]", "{}", "\x00\xff\xfe", `{"a":`,
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000),
		`{"seq":99999999999999999999,"version":99999999999999999999,"count":-1,"epoch":-1,"settled":1e300}`,
	}
}

// oddEndpoints are entries of endpoints that another writer has left, by key. Their address is that of a live endpoint.
func oddEndpoints(addr string) map[string]string {
	entry := func(old, spoiled string) string {
		sound := `{"service":"ledger","address":"` + addr + `","zone":"a","version":"v1","slots":16,"state":"ready","models":[],"seq":0,"born":1700000000000}`
		return strings.Replace(sound, old, spoiled, 1)
	}
	odd := map[string]string{
		"x\r\nHold: 1":                       entry("", ""),
		strings.Repeat("k", 190):             entry("", ""),
		"models-" + strings.Repeat("k", 180): entry(`"ledger"`, `"models"`),
		"":                                   entry("", ""),
		"with space":                         entry("", ""),
		"port":                               entry(addr, "10.0.0.1:70000"),
		"port0":                              entry(addr, "10.0.0.1:0"),
		"any":                                entry(addr, "0.0.0.0:80"),
		"name":                               entry(addr, "runner.example:80"),
		"long-address":                       entry(addr, strings.Repeat("1", 100000)),
		"slots":                              entry(`"slots":16`, `"slots":9223372036854775807`),
		"slots-too-large":                    entry(`"slots":16`, `"slots":1e400`),
		"born":                               entry(`"born":1700000000000`, `"born":9223372036854775807`),
		"born-fraction":                      entry(`"born":1700000000000`, `"born":1.5`),
		"state":                              entry(`"ready"`, `"`+strings.Repeat("asleep", 20000)+`"`),
		"service":                            entry(`"ledger"`, `"nobody"`),
		"same-address":                       entry("", ""),
		"models":                             entry(`"models":[]`, `"models":[{"name":"m","adapters":["`+strings.Repeat("a", 5000)+`@99999999999999999999"]}]`),
	}
	for n, v := range spoiledValues() {
		odd["spoiled-"+strconv.Itoa(n)] = v
	}
	return odd
}

// Guards against VMs that end, or stop working in part, because of any entry of another writer, also at a start.
func TestOddEntriesStopNothingElse(t *testing.T) {
	t.Parallel()
	s := startSite(t, 3)
	for k, v := range oddEndpoints(s.site.Addr("ledger-0").String()) {
		s.site.Store.Put("servers/"+k, []byte(v))
	}
	for n, v := range spoiledValues() {
		odd := "odd-" + strconv.Itoa(n)
		for _, prefix := range []string{
			"op/", "op/version/", "op/version/m.", "greengageslip/", "greengageslip/vm/", "greengageslip/orderer/", "greengageslip/part/",
			"greengageslipOrders/", "greengageslipCrashes/", "greengageslipOrigins/",
		} {
			s.site.Store.Put(prefix+odd, []byte(v))
		}
	}
	const spoiled = `{"owner":[],"process":1,"settled":"x","services":7}`
	for _, k := range []string{
		"greengageslip/orderer/runner-00", "greengageslip/epoch", "greengageslipOrders/runner-00", "greengageslipOrders/runner-10", "greengageslipSoftware",
	} {
		s.site.Store.Put(k, []byte(spoiled))
	}
	adapter := 0
	checkAllServe := func(when string) {
		for n := range s.edges {
			s.eventually("edge "+strconv.Itoa(n)+" serves "+when, func() bool {
				adapter++
				chat := s.call(n, http.MethodPost, "/chat/x", "m/a"+strconv.Itoa(adapter%40), "Hola")
				return chat.status == http.StatusOK && s.call(n, http.MethodPost, "/pay/1", "", "{}").status == http.StatusOK
			})
			s.eventually("edge "+strconv.Itoa(n)+" knows all owners "+when, func() bool { return s.knownOwners(n) == 2 })
			s.eventually("edge "+strconv.Itoa(n)+" names the entries "+when, func() bool { return len(s.state(n).Unreadable) > len(spoiledValues()) })
		}
	}
	checkAllServe("beside odd entries")
	s.restartAll(t)
	checkAllServe("after a restart of all VMs")
	s.site.Drain("ledger-1")
	for n := range s.edges {
		s.eventually("edge "+strconv.Itoa(n)+" follows the list", func() bool {
			for _, e := range s.state(n).Endpoints {
				if e.ID == "ledger-1" {
					return e.Leaving
				}
			}
			return false
		})
	}
	r := s.call(0, http.MethodPost, "/pay/1", "", "{}")
	s.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
}

// Guards against callers who are refused because entries have the address of another endpoint, which refuses their requests.
func TestEntryWithTheAddressOfAnotherEndpoint(t *testing.T) {
	t.Parallel()
	const calls = 60
	for name, tc := range map[string]struct{ entries, vms int }{
		"one entry":             {1, 3},
		"two entries, more VMs": {2, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, tc.vms)
			s.site.Drain("ledger-1")
			for n := range tc.entries {
				s.site.Store.Put("servers/twin-"+strconv.Itoa(n), []byte(oddEndpoints(s.site.Addr("ledger-0").String())["same-address"]))
			}
			for n := range s.edges {
				s.eventually("edge "+strconv.Itoa(n)+" follows the list", func() bool {
					leaving, listed := false, 0
					for _, e := range s.state(n).Endpoints {
						leaving = leaving || e.ID == "ledger-1" && e.Leaving
						if strings.HasPrefix(string(e.ID), "twin-") {
							listed++
						}
					}
					return leaving && listed == tc.entries
				})
			}
			for n := range calls {
				r := s.call(n%len(s.edges), http.MethodPost, "/pay/1", "", "{}")
				s.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
				s.c.Check(s.site.Runs()[r.id], qt.Equals, 1)
			}
		})
	}
}

// Guards against requests that go round between VMs, because an entry has the address of one of them.
func TestEntryWithTheAddressOfAVM(t *testing.T) {
	t.Parallel()
	const entries, calls = 6, 40
	s := startSite(t, 2)
	for n := range entries {
		s.site.Store.Put("servers/loop-"+strconv.Itoa(n), []byte(`{"service":"ledger","address":"`+s.edges[n%2].settings.Callers.String()+
			`","zone":"a","version":"v1","slots":16,"state":"ready","models":[],"seq":0,"born":1700000000000}`))
	}
	for n := range s.edges {
		s.eventually("the list is read", func() bool { return len(s.state(n).Unreadable) == entries })
	}
	before := s.arrived()
	for n := range calls {
		r := s.call(n%2, http.MethodPost, "/pay/1", "", "{}")
		s.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		s.c.Check(s.site.Runs()[r.id], qt.Equals, 1)
	}
	s.c.Assert(s.arrived()-before, qt.Equals, calls)
}

// arrived returns the number of requests that have arrived at all edges, by their metrics.
func (s *siteTest) arrived() int {
	sum := 0
	for _, e := range s.edges {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+e.settings.Ready.String()+metricsPath, nil)
		s.c.Assert(err, qt.IsNil)
		resp, err := http.DefaultClient.Do(r)
		s.c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(resp.Body)
		s.c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		_, text, _ := strings.Cut(string(b), "\nggs_requests_total ")
		text, _, _ = strings.Cut(text, "\n")
		n, err := strconv.ParseFloat(text, 64)
		s.c.Assert(err, qt.IsNil)
		sum += int(n)
	}
	return sum
}
