package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReportWritesPlot(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		file  string
		begin string
	}{
		"svg": {file: "losses.svg", begin: "<?xml"},
		"png": {file: "losses.png", begin: "\x89PNG"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			log := filepath.Join(t.TempDir(), "one.log")
			c.Assert(os.WriteFile(log, []byte(
				"ts=2026-01-02T03:04:05Z vm=edge-1 event=requestEnded request=7 status=503 why=\"no capacity\" sends=0 runs=0 took=30ms\n"), 0o600), qt.IsNil)
			r := reportCommand{Every: time.Second, Plot: filepath.Join(t.TempDir(), tc.file)}
			r.Args.Files = []string{log}
			w, err := os.Create(filepath.Join(t.TempDir(), "out"))
			c.Assert(err, qt.IsNil)
			defer func() { _ = w.Close() }()
			c.Assert(r.run(context.Background(), &app{streams: streams{out: w}}), qt.IsNil)
			b, err := os.ReadFile(r.Plot)
			c.Assert(err, qt.IsNil)
			c.Assert(string(b[:len(tc.begin)]), qt.Equals, tc.begin)
		})
	}
}
