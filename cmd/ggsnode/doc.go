// Package ggsnode wires the programs that run on entry VMs.
//
// # Usage
//
//	os.Exit(ggsnode.RunGateway(ctx, os.Args[1:], os.Stdout, os.Stderr))
//
// Both programs take --settings FILE and end at SIGTERM, SIGINT or the
// context's end by a graceful shutdown: they refuse new requests and finish
// those in progress. The exit code is 0 after that, 1 after a failure and 2
// where the command line or the settings are wrong.
//
// uber/fx makes and starts the parts. They stop in the reverse order, so the
// part that drains is started last.
package ggsnode
