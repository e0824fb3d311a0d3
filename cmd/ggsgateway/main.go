// Command ggsgateway faces callers: it resolves their requests on the document
// in force and relays the answers of the dispatchers.
//
// # Usage
//
//	ggsgateway --settings gateway.toml
package main

import (
	"context"
	"os"

	"greengageslip/cmd/ggsnode"
)

func main() {
	os.Exit(ggsnode.RunGateway(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
