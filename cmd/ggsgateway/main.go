// Command ggsgateway accepts callers' requests. It resolves them with the document in
// force, submits them to dispatchers and relays the dispatchers' answers.
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
