// Command ggsdispatcher owns endpoints of its failure domain and runs requests on them.
//
// # Usage
//
//	ggsdispatcher --settings dispatcher.toml
package main

import (
	"context"
	"os"

	"greengageslip/cmd/ggsnode"
)

func main() {
	os.Exit(ggsnode.RunDispatcher(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
