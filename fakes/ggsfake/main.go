// Command ggsfake runs the stand-ins of the outside systems.
//
// # Usage
//
//	ggsfake platform --listen 127.0.0.1:7100 --vms vms.json
//	ggsfake weights --listen 127.0.0.1:7101
//	ggsfake engine --listen 127.0.0.1:7201 --id r1 --weights 127.0.0.1:7101
//	ggsfake plain --listen 127.0.0.1:7301 --id ledger-1
//	ggsfake link --listen 127.0.0.1:7401 --from 127.0.0.1:7400 --to 127.0.0.1:7100 --delay 8ms
//	ggsfake call --addr 127.0.0.1:7100 --method POST --path /v1/faults --body '{"outage":true}'
//
// Each serves until SIGTERM or SIGINT. It then takes no new calls, gives those
// in progress a moment and exits 0. Logs go to standard error, one key=value
// line an event. Exit codes: 0 done, 1 failed, 2 wrong usage.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
