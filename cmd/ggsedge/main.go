// Command ggsedge is the server of an entry VM on the users' platform. It accepts
// callers' requests, forwards them to endpoints, and sends endpoints their orders to
// load and unload adapters.
//
// # Usage
//
//	ggsedge
//
// The environment variable GREENGAGESLIP_NODE_FILE holds the path of the settings
// file, which the platform writes.
package main

import (
	"context"
	"os"

	"greengageslip/cmd/ggsnode"
)

func main() {
	os.Exit(ggsnode.RunEdge(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
