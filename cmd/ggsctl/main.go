// Command ggsctl is the operators' client: it reads and changes sections of
// the document and shows what the processes do.
//
// # Usage
//
//	ggsctl [--settings FILE] [--platform ADDR] [--entry ADDR]... COMMAND
//
//	ggsctl validate services.toml market/cr.toml
//	ggsctl get market/cr > cr.toml
//	ggsctl apply market/cr cr.toml
//	ggsctl edit market/cr --set 'adapters["deposits-es"].current=v2'
//	ggsctl diff market/cr cr.toml
//	ggsctl status
//	ggsctl dump 127.0.0.1:7301
//	ggsctl explain 9c41d07be2a35f68 edge-1.log edge-2.log
//	ggsctl request --market cr --service asistente --model deposits-es --message 'Hola'
//
// It exits with 0 on success, 1 on failure, 2 on invalid usage or input, 3 on a
// conflict with another operator's change and 4 if the outcome is unknown.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(runUntilSignal())
}

func runUntilSignal() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
}
