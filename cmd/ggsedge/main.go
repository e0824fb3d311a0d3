// Command ggsedge serves an entry VM on the users' platform: it faces callers,
// passes their requests on to endpoints and gives endpoints their orders.
//
// # Usage
//
//	ggsedge
//
// The platform's variable names the file with its settings.
package main

import (
	"context"
	"os"

	"greengageslip/cmd/ggsnode"
)

func main() {
	os.Exit(ggsnode.RunEdge(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
