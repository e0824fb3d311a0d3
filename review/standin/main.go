// Command standin plays the cases of the review. It starts the edges as separate processes, and is itself
// the platform's store and entry, the runners and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

func main() {
	trouble := flag.Bool("trouble", true, "with the disruptions")
	only := flag.String("only", "", "one disruption alone: crash or kill")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	crashAt := flag.Duration("crash-at", 550*time.Millisecond, "time from the edges' readiness to the runners' crash, in the case quarantine")
	root := flag.String("root", ".", "the repository")
	flag.Parse()
	f, err := os.Create(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	j := &journal{w: bufio.NewWriter(f), start: time.Now()}
	p := &play{j: j, root: *root, crashAt: *crashAt, crash: *trouble && *only != "kill", kill: *trouble && *only != "crash"}
	var broken bool
	switch flag.Arg(0) {
	case "recover":
		broken, err = p.recover()
	case "quarantine":
		broken, err = p.quarantine()
	case "version":
		broken, err = p.version()
	case "limit":
		broken, err = p.limit()
	default:
		err = fmt.Errorf("no case %q", flag.Arg(0))
	}
	_ = f.Close()
	if err == nil && p.cut {
		err = errors.New("it was ended before its time")
	}
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// A play is one run of a case.
type play struct {
	j     *journal
	root  string
	crash bool
	kill  bool
	// crashAt is the time from the edges' readiness to the runners' crash in the case quarantine.
	crashAt time.Duration
	// cut is set if the play was ended by a signal or by maxTime, so that it shows nothing.
	cut bool
}

func (p *play) start(runnersPerZone []int, edgesPerZone int) (*site, context.Context, func(), error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	s, err := newSite(ctx, p.j, p.root, runnersPerZone, edgesPerZone)
	return s, ctx, func() {
		p.cut = ctx.Err() != nil
		stop()
		cancel()
		if s != nil {
			s.close()
		}
	}, err
}
