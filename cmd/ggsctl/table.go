package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	ggscore "greengageslip/core"
)

// rows writes the rows of a table, with cells separated by tabs.
type rows struct{ w io.Writer }

func (r rows) add(cells ...string) {
	_, _ = fmt.Fprintln(r.w, strings.Join(cells, "\t"))
}

func revision(r ggscore.Revision) string { return strconv.FormatUint(uint64(r), 10) }
