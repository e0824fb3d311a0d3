package ggsschedule_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises the number of generated histories, since the rarer faults show only
// in thousands of them. It fixes the seed, so that the verdict is reproducible. Flags
// override both.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "5000", "rapid.seed": "1"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}
