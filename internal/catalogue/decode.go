package catalogue

import (
	"fmt"
	"math"
	"reflect"
	"strconv"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decoder fills typed values from a syntax tree. Unlike the YAML library's decoder, it reports every invalid field with
// its path and rejects fractions for integers instead of truncating them.
type decoder struct {
	errs FieldErrors
}

// defaulter is a type with fields that have a default other than the zero value.
type defaulter interface{ setDefaults() }

// decodeYAML returns a nil catalogue if the document is not a mapping.
func decodeYAML(body ast.Node) (*Catalogue, FieldErrors) {
	var d decoder
	var c Catalogue
	if _, ok := body.(ast.MapNode); !ok {
		d.fail("", body, "must be a mapping of fields")
		return nil, d.errs
	}
	d.value("", body, reflect.ValueOf(&c).Elem())
	return &c, d.errs
}

func (d *decoder) fail(path string, node ast.Node, format string, args ...any) {
	if path == "" {
		path = documentPath
	}
	d.errs = append(d.errs, FieldError{Path: path, Line: lineOf(node), Message: fmt.Sprintf(format, args...)})
}

// value decodes a node; null keeps the default.
func (d *decoder) value(path string, node ast.Node, out reflect.Value) {
	if node == nil || node.Type() == ast.NullType {
		return
	}
	if _, ok := out.Interface().(Duration); ok {
		d.duration(path, node, out)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(path, node, out)
	case reflect.Slice:
		d.list(path, node, out)
	case reflect.String:
		d.text(path, node, out)
	case reflect.Bool:
		d.bool(path, node, out)
	case reflect.Int:
		d.integer(path, node, out)
	case reflect.Uint64:
		d.unsigned(path, node, out)
	case reflect.Float64:
		d.float(path, node, out)
	default:
		panic("catalogue: no decoder for " + out.Type().String())
	}
}

func (d *decoder) object(path string, node ast.Node, out reflect.Value) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.fail(path, node, "must be a mapping of fields")
		return
	}
	if v, ok := out.Addr().Interface().(defaulter); ok {
		v.setDefaults()
	}
	fields := fieldsByName(out.Type())
	for pairs := mapping.MapRange(); pairs.Next(); {
		name := keyName(pairs.Key())
		fieldPath := join(path, name)
		index, known := fields[name]
		if !known {
			d.fail(fieldPath, pairs.Key(), "is not a known field")
			continue
		}
		d.value(fieldPath, pairs.Value(), out.Field(index))
	}
}

// fieldsByName returns the index of each field that documents may contain, by its YAML name.
func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = i
		}
	}
	return fields
}

func keyName(key ast.MapKeyNode) string {
	if text, ok := key.(*ast.StringNode); ok {
		return text.Value
	}
	return key.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) list(path string, node ast.Node, out reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fail(path, node, "must be a list")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(sequence.Values), len(sequence.Values)))
	for i, item := range sequence.Values {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
}

// text accepts any scalar, so that a version may be written as 1.10 without quotes and keeps its digits.
func (d *decoder) text(path string, node ast.Node, out reflect.Value) {
	switch n := node.(type) {
	case *ast.StringNode:
		out.SetString(n.Value)
	case *ast.LiteralNode:
		out.SetString(n.Value.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		out.SetString(n.GetToken().Value)
	default:
		d.fail(path, node, "must be text")
	}
}

func (d *decoder) bool(path string, node ast.Node, out reflect.Value) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		d.fail(path, node, "must be true or false, is %s", describeNode(node))
		return
	}
	out.SetBool(n.Value)
}

func (d *decoder) integer(path string, node ast.Node, out reflect.Value) {
	if n, ok := node.(*ast.IntegerNode); ok {
		switch value := n.Value.(type) {
		case int64:
			out.SetInt(value)
			return
		case uint64:
			if value <= math.MaxInt64 {
				out.SetInt(int64(value))
				return
			}
		}
	}
	d.fail(path, node, "must be a whole number, is %s", describeNode(node))
}

func (d *decoder) unsigned(path string, node ast.Node, out reflect.Value) {
	if n, ok := node.(*ast.IntegerNode); ok {
		if value, ok := n.Value.(uint64); ok {
			out.SetUint(value)
			return
		}
		if value, ok := n.Value.(int64); ok && value >= 0 {
			out.SetUint(uint64(value))
			return
		}
	}
	d.fail(path, node, "must be a whole number of 0 or more, is %s", describeNode(node))
}

func (d *decoder) float(path string, node ast.Node, out reflect.Value) {
	switch n := node.(type) {
	case *ast.FloatNode:
		out.SetFloat(n.Value)
		return
	case *ast.IntegerNode:
		switch value := n.Value.(type) {
		case int64:
			out.SetFloat(float64(value))
			return
		case uint64:
			out.SetFloat(float64(value))
			return
		}
	case *ast.StringNode:
		// The library parses numbers with an exponent but no dot, such as 1e3, as strings.
		value, err := strconv.ParseFloat(n.Value, 64)
		if err == nil && n.Token.Type == token.StringType {
			out.SetFloat(value)
			return
		}
	}
	d.fail(path, node, "must be a number, is %s", describeNode(node))
}

func (d *decoder) duration(path string, node ast.Node, out reflect.Value) {
	before := len(d.errs)
	var text string
	d.text(path, node, reflect.ValueOf(&text).Elem())
	if len(d.errs) > before {
		return
	}
	value, err := parseDuration(text)
	if err != nil {
		d.fail(path, node, "%s", err)
		return
	}
	out.Set(reflect.ValueOf(value))
}

// describeNode returns a short description of a node for error messages.
func describeNode(node ast.Node) string {
	switch node.(type) {
	case *ast.SequenceNode:
		return "a list"
	case ast.MapNode:
		return "a mapping"
	}
	const longest = 40
	text := node.GetToken().Value
	if len(text) > longest {
		text = text[:longest] + "..."
	}
	return fmt.Sprintf("%q", text)
}
