// Package ggsnode wires the programs that run on entry VMs: ggsdispatcher, ggsgateway and ggsedge.
// Each Run function takes the command line and the output streams and returns the exit code. The
// package has no locks of its own beyond those of the parts that it starts.
//
// # Usage
//
//	os.Exit(ggsnode.RunGateway(ctx, os.Args[1:], os.Stdout, os.Stderr))
//
// Dispatcher and gateway take --settings FILE; the edge reads the settings file that the
// environment variable GREENGAGESLIP_NODE_FILE names. SIGTERM, SIGINT or the context's end starts
// a graceful shutdown: the program refuses new requests and finishes those in progress. The edge
// first continues to serve until the load balancer has removed it. The exit code is 0 after a
// graceful shutdown, 1 after a failure and 2 if the command line or the settings are invalid.
//
// The parts are constructed and started by uber/fx. They stop in reverse order, so the part that
// drains is started last.
package ggsnode
