// Command ggsload measures a deployment: it sends requests on a fixed schedule,
// whether or not earlier ones are answered, and checks each answer.
//
// # Usage
//
//	ggsload run --gateway 127.0.0.1:7200 --market cr --service asistente \
//		--rate 200 --duration 30s --seed 1 --adapters 3000 --zipf 1.0 \
//		--shift-at 15s --out result.json
//	ggsload report --csv table.csv --png stalls.png result.json
//
// Adapters are named by --adapter-format and their number; the most popular
// has number zero until --shift-at, when the popularity moves on by half of
// the adapters. A request's time counts from when it was due. A run ends by
// itself: after its duration, or its --max-requests, and --timeout more.
//
// It exits with 0 on success, 1 where an answer was wrong, cut short without
// an error or another caller's, or where nothing was answered, and 2 on wrong
// usage.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	a := &app{
		out:   os.Stdout,
		err:   os.Stderr,
		clock: time.Now, //nolint:forbidigo // the one clock of a process
	}
	code := a.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
