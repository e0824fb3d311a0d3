package ggsdocument

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	ggscore "greengageslip/core"
)

// maxNameLength bounds names, in bytes, since names become parts of keys and of URLs.
const maxNameLength = 128

// A checker validates the values of one section and keeps the first failure.
type checker struct {
	section ggscore.SectionName
	// prefix is the path of the table that is being validated.
	prefix string
	err    error
}

func (c *checker) adapter(a ggscore.AdapterSpec) {
	c.required("baseModel", string(a.Base))
	if len(a.Versions) == 0 {
		c.fail("versions", &MissingValueError{})
	}
	for i, v := range a.Versions {
		if !validName(string(v)) {
			c.fail("versions", &BadNameError{Name: string(v)})
		}
		if slices.Contains(a.Versions[:i], v) {
			c.fail("versions", &DuplicateNameError{Name: string(v)})
		}
	}
	c.required("current", string(a.Current))
	if !slices.Contains(a.Versions, a.Current) {
		c.fail("current", &DanglingVersionError{Version: a.Current})
	}
}

func (c *checker) atLeast(key string, n, least int) {
	if n < least {
		c.fail(key, &OutOfRangeError{Value: strconv.Itoa(n), Want: "at least " + strconv.Itoa(least)})
	}
}

// result returns the section unless a check failed.
func (c *checker) result(s *Section) (*Section, error) {
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

func (c *checker) duration(key string, d, least time.Duration) {
	if d < least {
		c.fail(key, &OutOfRangeError{Value: d.String(), Want: "at least " + least.String()})
	}
}

// enterNamed starts the validation of element i of an array of tables, which its key name
// identifies. The path of the array is outer followed by array.
func (c *checker) enterNamed(outer, array string, i int, name string, dup bool) {
	c.enterElement(outer, array, "name", i, name, dup)
}

// enterElement is like enterNamed for elements that the given key identifies.
func (c *checker) enterElement(outer, array, key string, i int, name string, dup bool) {
	if c.err != nil {
		return
	}
	c.prefix = outer + array + "[" + strconv.Itoa(i) + "]."
	if dup {
		c.fail(key, &DuplicateNameError{Name: name})
	}
	c.name(key, name)
	c.prefix = outer + array + "[" + strconv.Quote(name) + "]."
}

// fail records a failure unless one is recorded already.
func (c *checker) fail(key string, cause error) {
	if c.err == nil {
		c.err = &SectionError{Section: c.section, Key: c.prefix + key, Cause: cause}
	}
}

func (c *checker) name(key, n string) {
	if n == "" {
		c.fail(key, &MissingValueError{})
		return
	}
	if !validName(n) {
		c.fail(key, &BadNameError{Name: n})
	}
}

func (c *checker) nonNegative(key string, f float64) {
	if !(f >= 0) || math.IsInf(f, 0) {
		c.fail(key, &OutOfRangeError{Value: fmt.Sprint(f), Want: "at least 0"})
	}
}

func (c *checker) operation(o ggscore.OperationSpec) {
	switch o.Operation.Method {
	case "GET", "POST", "PUT", "PATCH", "DELETE":
	default:
		c.fail("method", &OutOfRangeError{
			Value: strconv.Quote(o.Operation.Method), Want: "GET, POST, PUT, PATCH or DELETE",
		})
	}
	if !strings.HasPrefix(o.Operation.Path, "/") {
		c.fail("path", &OutOfRangeError{Value: strconv.Quote(o.Operation.Path), Want: "a path that begins with /"})
	}
}

func (c *checker) positive(key string, f float64) {
	if !(f > 0) || math.IsInf(f, 0) {
		c.fail(key, &OutOfRangeError{Value: fmt.Sprint(f), Want: "more than 0"})
	}
}

func (c *checker) service(s ggscore.ServiceSpec, operations int) {
	c.atLeast("slots", s.Slots, 1)
	if s.Kind == ggscore.KindPlain {
		if s.Base != "" {
			c.fail("baseModel", &UnwantedValueError{Where: "a plain service"})
		}
		if s.AdapterSlots != 0 {
			c.fail("adapterSlots", &UnwantedValueError{Where: "a plain service"})
		}
		if operations == 0 {
			c.fail("operations", &MissingValueError{})
		}
		return
	}
	c.required("baseModel", string(s.Base))
	c.atLeast("adapterSlots", s.AdapterSlots, 1)
	if operations > 0 {
		c.fail("operations", &UnwantedValueError{Where: "a model service"})
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.fail(key, &MissingValueError{})
	}
}

func (c *checker) use(u ggscore.UseSpec) {
	c.duration("deadline", u.Deadline, time.Millisecond)
	c.duration("deferrable", u.Deferrable, 0)
	if u.Deferrable > u.Deadline {
		c.fail("deferrable", &OutOfRangeError{Value: u.Deferrable.String(), Want: "at most the deadline " + u.Deadline.String()})
	}
}

// validName reports whether n is a valid name. Names are parts of keys and URLs, and @
// separates an adapter's name from its version.
func validName(n string) bool {
	if n == "" || len(n) > maxNameLength {
		return false
	}
	for i := range len(n) {
		b := n[i]
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		digit := b >= '0' && b <= '9'
		if !letter && !digit && b != '.' && b != '_' && b != '-' {
			return false
		}
	}
	return true
}
