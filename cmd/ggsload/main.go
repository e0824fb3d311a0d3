// Command ggsload measures a deployment under an open load: it sends requests on a
// fixed schedule, whether or not earlier ones are answered, and checks each answer.
//
// # Usage
//
//	ggsload run --gateway 127.0.0.1:7200 --market cr --service asistente \
//		--rate 200 --duration 30s --seed 1 --adapters 3000 --zipf 1.0 \
//		--shift-at 15s --out result.json
//	ggsload report --csv table.csv --png stalls.png result.json
//
// The name of an adapter is its number in --adapter-format. The most popular adapter
// has number zero until --shift-at, when the popularity shifts by half of the adapters.
// Latencies count from when a request was due. A run ends after --duration or
// --max-requests, and at most --timeout later.
//
// It exits with 0 on success, 1 if an answer was wrong, truncated without an error or
// meant for another caller, or if no request was done, and 2 on invalid usage.
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
