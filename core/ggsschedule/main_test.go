package ggsschedule_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises the number of generated histories: the rarer guards need
// thousands of them to show that they are missing.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("5000")
	}
	os.Exit(m.Run())
}
