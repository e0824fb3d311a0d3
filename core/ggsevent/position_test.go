package ggsevent_test

import (
	"bufio"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengageslip/core/ggsevent"
)

func TestPosition(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		stream string
		inside bool
		events int
	}{
		"nothing":                      {},
		"lines end with LF":            {stream: "id: 1\ndata: a\n\ndata: b\n\n", events: 2},
		"lines end with CRLF":          {stream: "id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", events: 2},
		"lines end with CR":            {stream: "id: 1\rdata: a\r\rdata: b\r\r", events: 2},
		"lines end in all ways":        {stream: "id: 1\r\ndata: a\n\rdata: b\r\r\ndata: c\n\n", events: 3},
		"the last LF is missing":       {stream: "data: a\r\n\r", events: 1},
		"inside a line":                {stream: "data: a\n\ndata", inside: true, events: 1},
		"after a line with LF":         {stream: "data: a\n\ndata: b\n", inside: true, events: 1},
		"after a line with CRLF":       {stream: "data: a\r\n\r\ndata: b\r\n", inside: true, events: 1},
		"after a line with CR":         {stream: "data: a\r\rdata: b\r", inside: true, events: 1},
		"after a field without a name": {stream: "x\n", inside: true},
		"after a comment":              {stream: "data: a\n\n: ping\n", events: 1},
		"after a comment in an event":  {stream: "data: a\n: ping\n", inside: true},
		"inside a comment":             {stream: "data: a\n\n: pi", inside: true, events: 1},
		"more blank lines":             {stream: "\n\ndata: a\n\n\n\r\n", events: 1},
		"byte order mark":              {stream: "\xef\xbb\xbfdata: a\n\n", events: 1},
		"byte order mark and comment":  {stream: "\xef\xbb\xbf: ping\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for size := 1; size <= max(len(tc.stream), 1); size++ {
				var p ggsevent.Position
				for b := []byte(tc.stream); len(b) > 0; {
					n := min(size, len(b))
					p.Advance(b[:n])
					b = b[n:]
				}
				c.Check(p.InsideEvent(), qt.Equals, tc.inside, qt.Commentf("chunks of %d bytes", size))
				c.Check(p.Events(), qt.Equals, tc.events, qt.Commentf("chunks of %d bytes", size))
			}
		})
	}
}

func TestNext(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		stream string
		want   []string
	}{
		"lines end with LF":   {stream: "data: a\n\ndata: b\n\n", want: []string{"data: a\n\n", "data: b\n\n"}},
		"lines end with CRLF": {stream: "data: a\r\n\r\ndata: b\r\n\r\n", want: []string{"data: a\r\n\r\n", "data: b\r\n\r\n"}},
		"lines end with CR":   {stream: "data: a\r\rdata: b\r\r", want: []string{"data: a\r\r", "data: b\r\r"}},
		"comments":            {stream: ": ping\n\ndata: a\n\n", want: []string{": ping\n\n", "data: a\n\n"}},
		"blank lines":         {stream: "\n\ndata: a\n\n\n", want: []string{"\n\ndata: a\n\n", "\n"}},
		"inside an event":     {stream: "data: a\n\ndata: b\n", want: []string{"data: a\n\n", "data: b\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var p ggsevent.Position
			var got []string
			for b := []byte(tc.stream); len(b) > 0; {
				n, ended := p.Next(b)
				c.Check(ended || n == len(b), qt.IsTrue)
				got = append(got, string(b[:n]))
				b = b[n:]
			}
			c.Assert(got, qt.DeepEquals, tc.want)
		})
	}
}

func TestScanLines(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		stream string
		want   []string
	}{
		"LF":           {stream: "a\n\nb\n", want: []string{"a", "", "b"}},
		"CR":           {stream: "a\r\rb\r", want: []string{"a", "", "b"}},
		"CRLF":         {stream: "a\r\nb\r\n", want: []string{"a", "", "b", ""}},
		"no last end":  {stream: "a\nb", want: []string{"a"}},
		"empty stream": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := bufio.NewScanner(strings.NewReader(tc.stream))
			s.Split(ggsevent.ScanLines)
			var got []string
			for s.Scan() {
				got = append(got, s.Text())
			}
			c.Assert(s.Err(), qt.IsNil)
			c.Assert(got, qt.DeepEquals, tc.want)
		})
	}
}
