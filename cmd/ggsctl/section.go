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

// headerPrefix is the start of the line that get writes before a section's text.
// apply reads the revision from that line, so that an edited file carries the
// revision that was read.
const headerPrefix = "# ggsctl: "

// sectionHeader returns the line before a section's text.
func sectionHeader(n ggscore.SectionName, r ggscore.Revision) string {
	return fmt.Sprintf("%ssection %s at revision %d\n", headerPrefix, n, r)
}

// cutHeader splits the header line from a section's text. Without a header the
// revision is zero, which stands for a section that doesn't exist yet.
func cutHeader(n ggscore.SectionName, file string, text []byte) ([]byte, ggscore.Revision, error) {
	if !bytes.HasPrefix(text, []byte(headerPrefix)) {
		return text, 0, nil
	}
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	f := strings.Fields(string(line[len(headerPrefix):]))
	if len(f) != 5 || f[0] != "section" {
		return nil, 0, &usageError{detail: fmt.Sprintf("%s:1: malformed header line: want the line that ggsctl get writes", file)}
	}
	if f[1] != string(n) {
		return nil, 0, &usageError{detail: fmt.Sprintf("%s:1: holds section %s, not %s", file, f[1], n)}
	}
	r, err := strconv.ParseUint(f[4], 10, 64)
	if err != nil {
		return nil, 0, &usageError{detail: fmt.Sprintf("%s:1: malformed header line: want the line that ggsctl get writes", file)}
	}
	return rest, ggscore.Revision(r), nil
}

// inFile adds the file's name to an error of the section that the file holds. With a
// header line in the file, the line number is one higher than in the section.
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
