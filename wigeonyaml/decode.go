package wigeonyaml

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxBytes is the greatest size of a file that Decode reads.
const MaxBytes = 1 << 20

// Positions maps the path of each key that the file holds to its place, for checks across keys.
type Positions struct {
	file   string
	places map[string]*token.Position
}

// Fault returns a fault at the key, at its nearest parent that the file holds, or at the start of the file.
func (p Positions) Fault(key, format string, args ...any) Fault {
	fault := Fault{File: p.file, Line: 1, Column: 1, Key: key, Expected: fmt.Sprintf(format, args...)}
	for at := key; ; {
		if place, ok := p.places[at]; ok {
			fault.Line, fault.Column = place.Line, place.Column
			return fault
		}
		cut := strings.LastIndexAny(at, ".[")
		if cut < 0 {
			return fault
		}
		at = at[:cut]
	}
}

// Decode reads one YAML document into the struct that target points to and fills in defaults.
// Fields take their key from the tag "yaml" and their rules from the tag "check": required, min=, max=, default=,
// oneof=a|b, format=name and format=host_port. Embedded structs share the keys of their parent. Unknown keys and keys given twice are faults.
func Decode(file string, data []byte, target any) (Positions, Faults) {
	d := &decoder{positions: Positions{file: file, places: make(map[string]*token.Position)}}
	value := reflect.ValueOf(target).Elem()
	if len(data) > MaxBytes {
		d.faults = append(d.faults, Fault{File: file, Expected: fmt.Sprintf("a file of at most %d bytes", MaxBytes)})
		return d.positions, d.faults
	}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxFault(err)
		return d.positions, d.faults
	}
	body := documentBody(parsed)
	if len(parsed.Docs) > 1 {
		d.faults = append(d.faults, Fault{File: file, Expected: "one YAML document in a file"})
	}
	d.structure(body, "", value)
	return d.positions, d.faults.Sorted()
}

func documentBody(file *ast.File) ast.Node {
	if len(file.Docs) == 0 {
		return nil
	}
	return file.Docs[0].Body
}

type decoder struct {
	positions Positions
	faults    Faults
}

func (d *decoder) syntaxFault(err error) {
	fault := Fault{File: d.positions.file, Expected: "valid YAML"}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		fault.Expected = "valid YAML: " + syntax.Message
		if syntax.Token != nil && syntax.Token.Position != nil {
			fault.Line, fault.Column = syntax.Token.Position.Line, syntax.Token.Position.Column
		}
	}
	d.faults = append(d.faults, fault)
}

func (d *decoder) fault(node ast.Node, key, format string, args ...any) {
	fault := Fault{File: d.positions.file, Key: key, Expected: fmt.Sprintf(format, args...)}
	if node != nil && node.GetToken() != nil {
		place := node.GetToken().Position
		fault.Line, fault.Column = place.Line, place.Column
	}
	d.faults = append(d.faults, fault)
}

func entries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case nil, *ast.NullNode:
		return nil, true
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (d *decoder) structure(node ast.Node, path string, value reflect.Value) {
	pairs, ok := entries(node)
	if !ok {
		d.fault(node, path, "expected a mapping of keys to values")
		return
	}
	byKey := make(map[string]*ast.MappingValueNode, len(pairs))
	known := fieldNames(value.Type())
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		key := join(path, name)
		d.positions.places[key] = pair.Key.GetToken().Position
		switch {
		case byKey[name] != nil:
			d.fault(pair.Key, key, "key is given twice")
		case !known[name]:
			d.fault(pair.Key, key, "unknown key; expected one of %s", strings.Join(orderedNames(value.Type()), ", "))
		default:
			byKey[name] = pair
		}
	}
	d.fields(path, value, byKey)
}

func (d *decoder) fields(path string, value reflect.Value, byKey map[string]*ast.MappingValueNode) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Anonymous {
			d.fields(path, value.Field(i), byKey)
			continue
		}
		d.field(path, field, value.Field(i), byKey)
	}
}

func (d *decoder) field(path string, field reflect.StructField, value reflect.Value, byKey map[string]*ast.MappingValueNode) {
	name := field.Tag.Get("yaml")
	if name == "" {
		return
	}
	rules := parseRules(field.Tag.Get("check"))
	key := join(path, name)
	pair, ok := byKey[name]
	if !ok || isNull(pair.Value) {
		switch {
		case rules.required:
			d.faults = append(d.faults, d.positions.Fault(key, "required key is missing; expected %s", rules.describe(field.Type)))
		case value.Kind() == reflect.Struct:
			d.structure(nil, key, value)
		case rules.fallback != "":
			setDefault(value, rules.fallback)
		}
		return
	}
	d.value(pair.Value, key, rules, value)
}

func (d *decoder) value(node ast.Node, key string, rules rules, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		d.structure(node, key, value)
	case reflect.Slice:
		d.list(node, key, rules, value)
	case reflect.String:
		text, ok := node.(*ast.StringNode)
		if !ok {
			d.fault(node, key, "expected %s", rules.describe(value.Type()))
			return
		}
		if problem := rules.checkString(text.Value); problem != "" {
			d.fault(node, key, "expected %s, found %q", problem, text.Value)
			return
		}
		value.SetString(text.Value)
	case reflect.Bool:
		flag, ok := node.(*ast.BoolNode)
		if !ok {
			d.fault(node, key, "expected true or false")
			return
		}
		value.SetBool(flag.Value)
	default:
		d.integer(node, key, rules, value)
	}
}

func (d *decoder) integer(node ast.Node, key string, rules rules, value reflect.Value) {
	number, ok := node.(*ast.IntegerNode)
	if !ok {
		d.fault(node, key, "expected %s without a unit; the unit is part of the key", rules.describe(value.Type()))
		return
	}
	var parsed int64
	switch n := number.Value.(type) {
	case int64:
		parsed = n
	case uint64:
		parsed = int64(min(n, math.MaxInt64))
	}
	if parsed < rules.min || parsed > rules.max {
		d.fault(node, key, "expected %s, found %d", rules.describe(value.Type()), parsed)
		return
	}
	value.SetInt(parsed)
}

func (d *decoder) list(node ast.Node, key string, rules rules, value reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fault(node, key, "expected a list")
		return
	}
	if rules.required && len(sequence.Values) == 0 {
		d.fault(node, key, "expected at least one element")
	}
	items := reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values))
	for i, element := range sequence.Values {
		at := fmt.Sprintf("%s[%d]", key, i)
		if element.GetToken() != nil {
			d.positions.places[at] = element.GetToken().Position
		}
		d.value(element, at, rules, items.Index(i))
	}
	value.Set(items)
}

func isNull(node ast.Node) bool {
	_, ok := node.(*ast.NullNode)
	return node == nil || ok
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func orderedNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Anonymous {
			names = append(names, orderedNames(field.Type)...)
		} else if name := field.Tag.Get("yaml"); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func fieldNames(t reflect.Type) map[string]bool {
	names := make(map[string]bool)
	for _, name := range orderedNames(t) {
		names[name] = true
	}
	return names
}
