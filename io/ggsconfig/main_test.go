package ggsconfig_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of property tests, so that every run generates the same cases.
// The flag -rapid.seed overrides the seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261203"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
