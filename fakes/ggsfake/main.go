// Command ggsfake runs test doubles of the external systems.
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
// Each command except call serves until SIGTERM or SIGINT. It then accepts no new calls,
// lets calls in flight end for up to 2 s and exits with code 0; site closes its connections
// at once. Logs go to standard error with one line of key=value pairs per event. Exit codes
// are 0 for success, 1 for a failure and 2 for wrong usage.
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
