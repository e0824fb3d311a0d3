// Command standin-2 runs the script cases of the review: stand-ins of the platform, of runners and of clients around
// processes of the project.
//
//	standin-2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"greengageslip/fakes/ggsfakesite"
)

// A world is a small deployment.
type world struct {
	net     network
	site    *site
	edges   []*edge
	log     *record
	trouble bool
}

var cases = map[string]func(*world) (broken bool, err error){
	"planned-stop": plannedStop,
	"old-order":    oldOrder,
	"second-model": secondModel,
	"lost-model":   lostModel,
}

func main() { os.Exit(run1()) }

func run1() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return 2
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	w := &world{log: log, trouble: os.Getenv("TROUBLE") != "0"}
	if w.net, err = freeNetwork(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.site = &site{store: ggsfakesite.NewStore(), addr: w.net.addr(9, 7000), log: log}
	seeds := []string{w.net.addr(11, 7102), w.net.addr(12, 7102), w.net.addr(13, 7102)}
	for k := range 3 {
		w.edges = append(w.edges, &edge{
			name: fmt.Sprintf("front-%s-1", w.net.zone(k)), ip: w.net.ip(11 + k), zone: w.net.zone(k), store: w.site.addr, dir: dir, seeds: seeds,
		})
	}
	defer func() {
		for _, e := range w.edges {
			e.kill()
		}
	}()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		log.line("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		log.line("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	log.line("the rule held")
	return 0
}

// startAll starts store, runners and edges, and waits until the edges are ready.
func (w *world) startAll() error {
	if err := w.site.start(); err != nil {
		return err
	}
	for _, e := range w.edges {
		if err := e.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(w.edges...)
}

func (w *world) awaitReady(es ...*edge) error {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, e := range es {
			if e.isReady() {
				n++
			}
		}
		if n == len(es) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d edges are ready", n, len(es))
		}
	}
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeout, target time.Duration) string {
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":%q,"routeType":%q,"timeoutMs":%d,"targetLatencyMs":%d,"priority":1,"service":%q,"maxAttempts":1,"stickySessions":true,"resumable":false,"gapAimMs":600}`,
		name, hostName, prefix, kind, timeout.Milliseconds(), target.Milliseconds(), service)
}

// engineService returns a service of model runners, with the usual model if none is given.
func engineService(name string, models ...model) string {
	if len(models) == 0 {
		models = []model{usual}
	}
	var ms []string
	for _, m := range models {
		ms = append(ms, fmt.Sprintf(`{"name":%q,"weightsMb":%d,"loadS":1.9,"adapters":3000,"adapterMb":%d}`, m.name, m.weightsMB, adapterMB))
	}
	return fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":250000,"models":[%s],"weightsMb":%d,"adapterSlots":%d,"loadsPerS":4.2}}`,
		name, strings.Join(ms, ","), runnerMB, adapterSlots)
}

// plainService returns a service without models.
func plainService(name string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}`, name)
}

// limits are the limits for clients.
const limits = `{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`

func config(version int, routes, services string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],"limits":%s}`, version, routes, services, limits)
}
