package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsdocument"
)

// headerPrefix begins the line that get writes before a section's text. apply
// reads the revision from it, so that an edited file carries the revision that
// was read.
const headerPrefix = "# ggsctl: "

// sectionHeader returns the line before a section's text.
func sectionHeader(n ggscore.SectionName, r ggscore.Revision) string {
	return fmt.Sprintf("%ssection %s at revision %d\n", headerPrefix, n, r)
}

// cutHeader parts the header line from a section's text. Without one the
// revision is zero, which stands for a section that isn't there yet.
func cutHeader(n ggscore.SectionName, file string, text []byte) ([]byte, ggscore.Revision, error) {
	if !bytes.HasPrefix(text, []byte(headerPrefix)) {
		return text, 0, nil
	}
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	f := strings.Fields(string(line[len(headerPrefix):]))
	if len(f) != 5 || f[0] != "section" {
		return nil, 0, &usageError{detail: fmt.Sprintf("%s:1: damaged header of ggsctl get", file)}
	}
	if f[1] != string(n) {
		return nil, 0, &usageError{detail: fmt.Sprintf("%s:1: holds section %s, not %s", file, f[1], n)}
	}
	r, err := strconv.ParseUint(f[4], 10, 64)
	if err != nil {
		return nil, 0, &usageError{detail: fmt.Sprintf("%s:1: damaged header of ggsctl get", file)}
	}
	return rest, ggscore.Revision(r), nil
}

// inFile names the file in a failure of the section that stands in it. The
// header line, if the file has one, counts.
func inFile(err error, n ggscore.SectionName, file string, header bool) error {
	var e *ggsdocument.SectionError
	if !errors.As(err, &e) || e.Section != n {
		return err
	}
	w := *e
	if header && w.Line > 0 {
		w.Line++
	}
	return &fileError{file: file, section: &w}
}
