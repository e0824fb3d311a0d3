package ggstoml

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// A location is the position of a key or table in a TOML text.
type location struct {
	path string
	line int
	// start and end are the byte offsets of a key's value. end is zero for a table.
	start int
	end   int
}

// A locator parses a text and collects the locations of its keys and tables. Paths contain
// elements of arrays of tables by index, such as services[0].name.
type locator struct {
	parser unstable.Parser
	// table is the path of the current table.
	table string
	// indexes holds the number of elements of each array of tables, by path.
	indexes   map[string]int
	locations []location
	// names holds, by the path of each table, the value of the table's key "name" or
	// "service", quoted and in brackets.
	names map[string]string
}

// locate returns the line of a key in a TOML text, counted from one. The key contains
// elements of arrays of tables by index, as in adapters[3].current, or by the value of
// their key "name" or "service", as in adapters["deposits-es"].current. If the key isn't set,
// locate returns the line of its innermost enclosing table, or zero if there is none.
func locate(text []byte, key string) int {
	l := newLocator(text)
	for want := key; want != ""; want = parentOf(want) {
		if f, found := l.find(want); found {
			return f.line
		}
	}
	return 0
}

func newLocator(text []byte) *locator {
	l := &locator{indexes: map[string]int{}, names: map[string]string{}}
	l.parser.Reset(text)
	for l.parser.NextExpression() {
		l.addExpression(l.parser.Expression())
	}
	return l
}

// addExpression collects the key or table of one expression.
func (l *locator) addExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.tablePath(n)
		l.add(l.table, n)
	case unstable.ArrayTable:
		p := l.tablePath(n)
		i := l.indexes[p]
		l.indexes[p] = i + 1
		l.table = p + "[" + strconv.Itoa(i) + "]"
		l.add(l.table, n)
	case unstable.KeyValue:
		p := join(l.table, l.keyPath(n))
		l.add(p, n)
		f := &l.locations[len(l.locations)-1]
		f.start, f.end = l.valueRange(n)
		if n.Value().Kind == unstable.String {
			l.recordName(p, string(n.Value().Data))
		}
	default:
	}
}

// tablePath returns the path of a table. For each enclosing array of tables, the path
// contains the index of the array's latest element.
func (l *locator) tablePath(n *unstable.Node) string {
	p := ""
	for i := n.Key(); i.Next(); {
		if c := l.indexes[p]; c > 0 {
			p += "[" + strconv.Itoa(c-1) + "]"
		}
		p = join(p, string(i.Node().Data))
	}
	return p
}

func (l *locator) add(path string, n *unstable.Node) {
	k := n.Key()
	if !k.Next() {
		return
	}
	line := l.parser.Shape(k.Node().Raw).Start.Line
	l.locations = append(l.locations, location{path: path, line: line})
}

// find returns the location of a key or table, with path elements by index or by name.
func (l *locator) find(want string) (location, bool) {
	for _, f := range l.locations {
		if f.path == want || l.pathByName(f.path) == want {
			return f, true
		}
	}
	return location{}, false
}

// recordName records the name of a table if path is the table's key "name" or "service".
func (l *locator) recordName(path, value string) {
	t, k := path, ""
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		t, k = path[:i], path[i+1:]
	}
	if k == "name" || k == "service" {
		l.names[t] = "[" + strconv.Quote(value) + "]"
	}
}

// pathByName returns a path with names in place of indexes, for elements with a name.
func (l *locator) pathByName(path string) string {
	s, rest := "", path
	at := 0
	for {
		i := strings.IndexByte(rest, ']')
		if i < 0 {
			return s + rest
		}
		at += i + 1
		step := rest[:i+1]
		if n, found := l.names[path[:at]]; found {
			step = step[:strings.IndexByte(step, '[')] + n
		}
		s, rest = s+step, rest[i+1:]
	}
}

// keyPath returns the dotted key of a key-value expression.
func (l *locator) keyPath(n *unstable.Node) string {
	p := ""
	for i := n.Key(); i.Next(); {
		p = join(p, string(i.Node().Data))
	}
	return p
}

// valueRange returns the byte offsets of a key's value.
func (l *locator) valueRange(n *unstable.Node) (start, end int) {
	text := l.parser.Data()
	for k := n.Key(); k.Next(); {
		start = endOfRaw(k.Node())
	}
	start += bytes.IndexByte(text[start:], '=') + 1
	for text[start] == ' ' || text[start] == '\t' {
		start++
	}
	return start, l.endOffset(n.Value(), start)
}

// endOffset returns the offset after a value that begins at offset from or later. The
// parser gives no range for arrays and inline tables, so endOffset searches their closing
// bracket after their last element.
func (l *locator) endOffset(v *unstable.Node, from int) int {
	if v.Kind != unstable.Array && v.Kind != unstable.InlineTable {
		return endOfRaw(v)
	}
	opening, closing := byte('['), byte(']')
	if v.Kind == unstable.InlineTable {
		opening, closing = '{', '}'
	}
	text := l.parser.Data()
	end := from + bytes.IndexByte(text[from:], opening) + 1
	for i := v.Children(); i.Next(); {
		switch c := i.Node(); c.Kind {
		case unstable.Comment:
		case unstable.KeyValue:
			end = l.endOffset(c.Value(), end)
		default:
			end = l.endOffset(c, end)
		}
	}
	return end + bytes.IndexByte(text[end:], closing) + 1
}

func endOfRaw(n *unstable.Node) int { return int(n.Raw.Offset + n.Raw.Length) }

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// parentOf returns the path of the table or array that contains a path, or "" at the top.
func parentOf(path string) string {
	if i := strings.LastIndexByte(path, '.'); i >= 0 && !strings.HasSuffix(path, "]") {
		return path[:i]
	}
	if i := strings.LastIndexByte(path, '['); i >= 0 {
		return path[:i]
	}
	return ""
}
