package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"gopkg.in/yaml.v3"
)

// Error is a fault in a settings document.
type Error struct {
	// File is empty for documents that are not in a file.
	File string
	// Line is 0 where no line is known.
	Line int
	// Key is the path of the key, as in rules[1].class. It is empty for faults of
	// the whole document.
	Key    string
	Reason string
}

// Error implements error in the form FILE:LINE: KEY: REASON.
func (e *Error) Error() string {
	var b strings.Builder
	switch {
	case e.File != "" && e.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	case e.File != "":
		fmt.Fprintf(&b, "%s: ", e.File)
	case e.Line > 0:
		fmt.Fprintf(&b, "line %d: ", e.Line)
	}
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Reason)
	return b.String()
}

// decoder fills a value from a YAML tree and notes the line of each key.
type decoder struct {
	lines map[string]int
}

// decode stores the tree n in v, which is addressable.
func (d *decoder) decode(n *yaml.Node, v reflect.Value, key string) *Error {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if key != "" {
		d.lines[key] = n.Line
	}
	if isLeaf(v) {
		return d.leaf(n, v, key)
	}
	switch v.Kind() {
	case reflect.Struct:
		return d.mapping(n, v, key)
	case reflect.Slice:
		return d.sequence(n, v, key)
	}
	return d.leaf(n, v, key)
}

// isLeaf reports whether a value decodes itself from a scalar.
func isLeaf(v reflect.Value) bool {
	switch v.Addr().Interface().(type) {
	case yaml.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func (d *decoder) mapping(n *yaml.Node, v reflect.Value, key string) *Error {
	if n.Kind != yaml.MappingNode {
		return &Error{Line: n.Line, Key: key, Reason: "must be keys and values"}
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, x := n.Content[i], n.Content[i+1]
		path := join(key, k.Value)
		field, ok := fieldOf(v, k.Value)
		switch {
		case !ok || k.Kind != yaml.ScalarNode:
			return &Error{Line: k.Line, Key: path, Reason: "unknown key; known are " + strings.Join(keysOf(v.Type()), ", ")}
		case seen[k.Value]:
			return &Error{Line: k.Line, Key: path, Reason: "occurs twice"}
		}
		seen[k.Value] = true
		if err := d.decode(x, field, path); err != nil {
			return err
		}
	}
	return nil
}

func (d *decoder) sequence(n *yaml.Node, v reflect.Value, key string) *Error {
	if n.Kind != yaml.SequenceNode {
		return &Error{Line: n.Line, Key: key, Reason: "must be a list"}
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, x := range n.Content {
		if err := d.decode(x, v.Index(i), fmt.Sprintf("%s[%d]", key, i)); err != nil {
			return err
		}
	}
	return nil
}

func (*decoder) leaf(n *yaml.Node, v reflect.Value, key string) *Error {
	if n.Kind != yaml.ScalarNode {
		return &Error{Line: n.Line, Key: key, Reason: "must be a single value"}
	}
	if n.Tag == "!!null" {
		return nil
	}
	if v.Kind() == reflect.String && !isLeaf(v) {
		v.SetString(n.Value)
		return nil
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		return &Error{Line: n.Line, Key: key, Reason: fmt.Sprintf("%q is not %s", n.Value, describe(v))}
	}
	return nil
}

// describe says what a leaf holds, with an example where the form is not obvious.
func describe(v reflect.Value) string {
	switch v.Type().String() {
	case "netip.AddrPort":
		return "an address and port such as 192.0.2.1:443"
	case "netip.Addr":
		return "an IP address such as 192.0.2.1"
	case "settings.Duration":
		return "a duration with its unit such as 500ms or 8h"
	}
	switch v.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	}
	return "a " + v.Kind().String()
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func fieldOf(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if tagOf(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if k := tagOf(t.Field(i)); k != "" {
			out = append(out, k)
		}
	}
	return out
}

func tagOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// lineOf returns the line of a key, or of the nearest key around it.
func (d *decoder) lineOf(key string) int {
	for key != "" {
		if l := d.lines[key]; l > 0 {
			return l
		}
		i := strings.LastIndexAny(key, ".[")
		key = key[:max(i, 0)]
	}
	return 0
}
