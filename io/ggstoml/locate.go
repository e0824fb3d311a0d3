package ggstoml

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// A located is a key or table in a TOML text.
type located struct {
	path string
	line int
	// start and end are the offsets of a key's value; end is zero for tables.
	start int
	end   int
}

// A locator walks a text and collects the paths of its keys. Elements of
// arrays of tables stand in paths by index, as services[0].name.
type locator struct {
	parser  unstable.Parser
	table   string
	indexes map[string]int
	found   []located
	names   map[string]string
}

// locate returns the line of a key in a TOML text, counted from one. Elements
// of arrays of tables stand in the key by index or by the value of their key
// name or service, as adapters[3].current or adapters["deposits-es"].current.
// Where the key isn't set, it returns the line of the table that lacks it,
// and zero where that is missing as well.
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
		l.expression(l.parser.Expression())
	}
	return l
}

// expression collects one line's key or table.
func (l *locator) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		l.table = l.absolute(n)
		l.add(l.table, n)
	case unstable.ArrayTable:
		p := l.absolute(n)
		i := l.indexes[p]
		l.indexes[p] = i + 1
		l.table = p + "[" + strconv.Itoa(i) + "]"
		l.add(l.table, n)
	case unstable.KeyValue:
		p := join(l.table, l.relative(n))
		l.add(p, n)
		f := &l.found[len(l.found)-1]
		f.start, f.end = l.valueOf(n)
		if n.Value().Kind == unstable.String {
			l.name(p, string(n.Value().Data))
		}
	default:
	}
}

// absolute returns the path of a table. The arrays of tables that it stands in
// are at their latest element.
func (l *locator) absolute(n *unstable.Node) string {
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
	l.found = append(l.found, located{path: path, line: line})
}

// find returns what stands at a path.
func (l *locator) find(want string) (located, bool) {
	for _, f := range l.found {
		if f.path == want || l.named(f.path) == want {
			return f, true
		}
	}
	return located{}, false
}

// name notes the name of the element that a path stands in.
func (l *locator) name(path, value string) {
	t, k := path, ""
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		t, k = path[:i], path[i+1:]
	}
	if k == "name" || k == "service" {
		l.names[t] = "[" + strconv.Quote(value) + "]"
	}
}

// named returns a path with names in place of indexes.
func (l *locator) named(path string) string {
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

// relative returns the dotted key of a line.
func (l *locator) relative(n *unstable.Node) string {
	p := ""
	for i := n.Key(); i.Next(); {
		p = join(p, string(i.Node().Data))
	}
	return p
}

// valueOf returns the offsets of a key's value.
func (l *locator) valueOf(n *unstable.Node) (start, end int) {
	text := l.parser.Data()
	for k := n.Key(); k.Next(); {
		start = endOfRaw(k.Node())
	}
	start += bytes.IndexByte(text[start:], '=') + 1
	for text[start] == ' ' || text[start] == '\t' {
		start++
	}
	return start, l.endOf(n.Value(), start)
}

// endOf returns the offset after a value that begins at an offset or later.
// Arrays and inline tables have no range of their own.
func (l *locator) endOf(v *unstable.Node, from int) int {
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
			end = l.endOf(c.Value(), end)
		default:
			end = l.endOf(c, end)
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

// parentOf returns the path of the table that a key stands in.
func parentOf(path string) string {
	if i := strings.LastIndexByte(path, '.'); i >= 0 && !strings.HasSuffix(path, "]") {
		return path[:i]
	}
	if i := strings.LastIndexByte(path, '['); i >= 0 {
		return path[:i]
	}
	return ""
}
