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

// MaxBytes is the maximum size of a file that Decode accepts.
const MaxBytes = 1 << 20

// Positions holds the position of each key of a file. Checks that involve several keys use it to report faults.
type Positions struct {
	file string
	// byPath maps the path of a key or list element, such as "classes[0].name", to its position.
	byPath map[string]*token.Position
}

// Fault returns a fault of the key. Its position is that of the key or, when the file does not hold the key, of its nearest
// parent in the file. Without such a parent it is the start of the file.
func (p Positions) Fault(key, format string, args ...any) Fault {
	fault := Fault{File: p.file, Line: 1, Column: 1, Key: key, Expected: fmt.Sprintf(format, args...)}
	for path := key; ; {
		if position, ok := p.byPath[path]; ok {
			fault.Line, fault.Column = position.Line, position.Column
			return fault
		}
		separator := strings.LastIndexAny(path, ".[")
		if separator < 0 {
			return fault
		}
		path = path[:separator]
	}
}

// Decode decodes one YAML document into the struct that target points to, fills in defaults and returns all faults.
//
// The tag "yaml" of a field holds its key; fields without the tag are skipped. The tag "check" holds its rules, separated by
// commas: required, min=, max=, default=, oneof=a|b, format=name and format=host_port. The rules of a list also apply to each of
// its elements. The keys of an embedded struct belong to the mapping of the struct that embeds it. Unknown and duplicate keys
// are faults.
func Decode(file string, data []byte, target any) (Positions, Faults) {
	d := &decoder{positions: Positions{file: file, byPath: make(map[string]*token.Position)}}
	value := reflect.ValueOf(target).Elem()
	if len(data) > MaxBytes {
		d.faults = append(d.faults, Fault{File: file, Expected: fmt.Sprintf("a file of at most %d bytes", MaxBytes)})
		return d.positions, d.faults
	}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxFault(err)
		return d.positions, d.faults
	}
	body := documentBody(parsed)
	if len(parsed.Docs) > 1 {
		d.faults = append(d.faults, Fault{File: file, Expected: "one YAML document in a file"})
	}
	d.decodeStruct(body, "", value)
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

func (d *decoder) addSyntaxFault(err error) {
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

func (d *decoder) addFault(node ast.Node, key, format string, args ...any) {
	fault := Fault{File: d.positions.file, Key: key, Expected: fmt.Sprintf(format, args...)}
	if node != nil && node.GetToken() != nil {
		position := node.GetToken().Position
		fault.Line, fault.Column = position.Line, position.Column
	}
	d.faults = append(d.faults, fault)
}

// mappingPairs returns the key-value pairs of a mapping, none for a missing or null node, and false for any other node.
func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
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

// decodeStruct decodes a mapping into a struct. A nil node, for a key that is missing, gives the defaults and a fault for each
// required key.
func (d *decoder) decodeStruct(node ast.Node, path string, value reflect.Value) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.addFault(node, path, "expected a mapping of keys to values")
		return
	}
	byKey := make(map[string]*ast.MappingValueNode, len(pairs))
	knownKeys := fieldKeySet(value.Type())
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		key := joinPath(path, name)
		d.positions.byPath[key] = pair.Key.GetToken().Position
		switch {
		case byKey[name] != nil:
			d.addFault(pair.Key, key, "key is given twice")
		case !knownKeys[name]:
			d.addFault(pair.Key, key, "unknown key; expected one of %s", strings.Join(fieldKeys(value.Type()), ", "))
		default:
			byKey[name] = pair
		}
	}
	d.decodeFields(path, value, byKey)
}

// decodeFields decodes the values of a mapping into the fields of a struct and of the structs embedded in it.
func (d *decoder) decodeFields(path string, value reflect.Value, byKey map[string]*ast.MappingValueNode) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Anonymous {
			d.decodeFields(path, value.Field(i), byKey)
			continue
		}
		d.decodeField(path, field, value.Field(i), byKey)
	}
}

// decodeField decodes the value of one field. If the key is missing or null, that is a fault for a required field; any other
// field gets its default.
func (d *decoder) decodeField(path string, field reflect.StructField, value reflect.Value, byKey map[string]*ast.MappingValueNode) {
	name := field.Tag.Get("yaml")
	if name == "" {
		return
	}
	rules := parseRules(field.Tag.Get("check"))
	key := joinPath(path, name)
	pair, ok := byKey[name]
	if !ok || isNull(pair.Value) {
		switch {
		case rules.required:
			d.faults = append(d.faults, d.positions.Fault(key, "required key is missing; expected %s", rules.describeExpected(field.Type)))
		case value.Kind() == reflect.Struct:
			d.decodeStruct(nil, key, value)
		case rules.defaultValue != "":
			setDefault(value, rules.defaultValue)
		}
		return
	}
	d.decodeValue(pair.Value, key, rules, value)
}

func (d *decoder) decodeValue(node ast.Node, key string, rules fieldRules, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, key, value)
	case reflect.Slice:
		d.decodeList(node, key, rules, value)
	case reflect.String:
		text, ok := node.(*ast.StringNode)
		if !ok {
			d.addFault(node, key, "expected %s", rules.describeExpected(value.Type()))
			return
		}
		if problem := rules.checkText(text.Value); problem != "" {
			d.addFault(node, key, "expected %s, found %q", problem, text.Value)
			return
		}
		value.SetString(text.Value)
	case reflect.Bool:
		flag, ok := node.(*ast.BoolNode)
		if !ok {
			d.addFault(node, key, "expected true or false")
			return
		}
		value.SetBool(flag.Value)
	default:
		d.decodeInteger(node, key, rules, value)
	}
}

func (d *decoder) decodeInteger(node ast.Node, key string, rules fieldRules, value reflect.Value) {
	number, ok := node.(*ast.IntegerNode)
	if !ok {
		d.addFault(node, key, "expected %s without a unit; the unit is part of the key", rules.describeExpected(value.Type()))
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
		d.addFault(node, key, "expected %s, found %d", rules.describeExpected(value.Type()), parsed)
		return
	}
	value.SetInt(parsed)
}

func (d *decoder) decodeList(node ast.Node, key string, rules fieldRules, value reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addFault(node, key, "expected a list")
		return
	}
	if rules.required && len(sequence.Values) == 0 {
		d.addFault(node, key, "expected at least one element")
	}
	items := reflect.MakeSlice(value.Type(), len(sequence.Values), len(sequence.Values))
	for i, element := range sequence.Values {
		path := fmt.Sprintf("%s[%d]", key, i)
		if element.GetToken() != nil {
			d.positions.byPath[path] = element.GetToken().Position
		}
		d.decodeValue(element, path, rules, items.Index(i))
	}
	value.Set(items)
}

func isNull(node ast.Node) bool {
	_, ok := node.(*ast.NullNode)
	return node == nil || ok
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldKeys returns the keys of a struct type, embedded structs included, in the order of the fields.
func fieldKeys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Anonymous {
			names = append(names, fieldKeys(field.Type)...)
		} else if name := field.Tag.Get("yaml"); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func fieldKeySet(t reflect.Type) map[string]bool {
	names := make(map[string]bool)
	for _, name := range fieldKeys(t) {
		names[name] = true
	}
	return names
}
