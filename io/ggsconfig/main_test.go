package ggsconfig_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain gives generated histories a seed, so that every run has the same
// verdict; -rapid.seed gives another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261203"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
