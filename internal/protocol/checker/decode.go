package checker

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Mistake is one invalid or missing field of a file.
type Mistake struct {
	Line    int
	Field   string
	Value   string
	Allowed string
	// missing is set if the field is absent from the file.
	missing bool
}

// String returns the line, field and value of the mistake, and the values that are allowed.
func (m Mistake) String() string {
	return fmt.Sprintf("line %d: %s: %s is not allowed; allowed: %s", m.Line, m.Field, m.Value, m.Allowed)
}

// MistakesError lists every mistake found in one file.
type MistakesError struct {
	Mistakes []Mistake
}

// Error returns the mistakes, one per line.
func (e *MistakesError) Error() string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, mistake := range e.Mistakes {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// location is the line of a field and its value as written in the source.
type location struct {
	line  int
	value string
}

// validator collects the mistakes of one file.
type validator struct {
	source []byte
	// standardJSON is the source without comments and trailing commas.
	standardJSON []byte
	// locations holds the fields present in the source by their path, such as members[0].id; the path of the file itself is empty.
	locations map[string]location
	mistakes  []Mistake
}

// decode unmarshals the source into the target, and returns a validator that holds the locations of the fields and the mistakes found while decoding.
func decode(source []byte, target any) (*validator, error) {
	v := &validator{
		source:    source,
		locations: map[string]location{},
	}
	tree, err := hujson.Parse(source)
	if err != nil {
		return v, &MistakesError{
			Mistakes: []Mistake{{
				Line:    1,
				Field:   "file",
				Value:   err.Error(),
				Allowed: "JSON with comments",
			}},
		}
	}
	v.walk(&tree, reflect.TypeOf(target).Elem(), "")
	tree.Standardize()
	v.standardJSON = tree.Pack()
	// walk has recorded fields of a wrong type; ignoring the error allows the values of the other fields to be checked too.
	err = json.Unmarshal(v.standardJSON, target)
	var wrongType *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &wrongType) {
		return v, fmt.Errorf("settings: %w", err)
	}
	return v, nil
}

// err returns the mistakes as a MistakesError sorted by line, missing fields last, or nil.
func (v *validator) err() error {
	if len(v.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(v.mistakes, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(missingRank(a), missingRank(b)), cmp.Compare(a.Line, b.Line))
	})
	return &MistakesError{
		Mistakes: v.mistakes,
	}
}

// missingRank returns the sort key with which missing fields come last: 1 for a missing field, 0 for any other mistake.
func missingRank(m Mistake) int {
	if m.missing {
		return 1
	}
	return 0
}

// addMistake records a mistake at a field, unless the field or one of its parents already has one.
func (v *validator) addMistake(field, allowed string) {
	if v.hasMistakeAt(field) {
		return
	}
	loc, ok := v.locations[field]
	if !ok {
		loc = location{
			line:  v.locations[parentOf(field)].line,
			value: "nothing",
		}
	}
	if field == "" {
		field = "file"
	}
	v.mistakes = append(v.mistakes, Mistake{
		Line:    loc.line,
		Field:   field,
		Value:   loc.value,
		Allowed: allowed,
		missing: !ok,
	})
}

// hasMistakeAt reports whether a mistake is recorded for the field or one of its parents.
func (v *validator) hasMistakeAt(field string) bool {
	return slices.ContainsFunc(v.mistakes, func(m Mistake) bool {
		return m.Field == field || m.Field == "file" || strings.HasPrefix(field, m.Field+".") || strings.HasPrefix(field, m.Field+"[")
	})
}

// parentOf returns the path of the object that contains a field; the path of the file itself is empty.
func parentOf(field string) string {
	return field[:max(0, strings.LastIndexAny(field, "."))]
}

// walk records the locations of a value and all values in it, and their mistakes: unknown fields and wrong types.
func (v *validator) walk(value *hujson.Value, typ reflect.Type, field string) {
	v.locations[field] = location{
		line:  v.lineAt(value.StartOffset),
		value: v.sourceText(value),
	}
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch typ.Kind() {
	case reflect.Struct:
		v.walkObject(value, typ, field)
	case reflect.Slice:
		v.walkArray(value, typ, field)
	case reflect.Map:
		v.walkMap(value, typ, field)
	default:
		v.walkLiteral(value, typ, field)
	}
}

func (v *validator) walkObject(value *hujson.Value, typ reflect.Type, field string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		v.addMistake(field, "an object")
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		path := joinPath(field, name)
		memberType, known := fieldType(typ, name)
		if !known {
			v.locations[path] = location{
				line:  v.lineAt(member.Name.StartOffset),
				value: v.sourceText(&member.Value),
			}
			v.addMistake(path, "one of "+strings.Join(jsonNames(typ), ", "))
			continue
		}
		v.walk(&member.Value, memberType, path)
	}
}

// walkMap walks an object whose names are not fields.
func (v *validator) walkMap(value *hujson.Value, typ reflect.Type, field string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		v.addMistake(field, "an object")
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		v.walk(&member.Value, typ.Elem(), joinPath(field, member.Name.Value.(hujson.Literal).String()))
	}
}

func (v *validator) walkArray(value *hujson.Value, typ reflect.Type, field string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		v.addMistake(field, "a list")
		return
	}
	for i := range array.Elements {
		v.walk(&array.Elements[i], typ.Elem(), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (v *validator) walkLiteral(value *hujson.Value, typ reflect.Type, field string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		v.addMistake(field, describeType(typ))
		return
	}
	if json.Unmarshal(literal, reflect.New(typ).Interface()) != nil || literal.Kind() == 'n' {
		v.addMistake(field, describeType(typ))
	}
}

// lineAt returns the line of a byte offset, counted from 1.
func (v *validator) lineAt(offset int) int {
	return 1 + bytes.Count(v.source[:offset], []byte("\n"))
}

// sourceText returns a value as written in the source, truncated for messages.
func (v *validator) sourceText(value *hujson.Value) string {
	const maxShownBytes = 60
	text := strings.TrimSpace(string(v.source[value.StartOffset:value.EndOffset]))
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "…"
	}
	return text
}

// fieldType returns the type of the struct field with the JSON name, and whether there is one.
func fieldType(typ reflect.Type, name string) (reflect.Type, bool) {
	for i := range typ.NumField() {
		if jsonName(typ.Field(i)) == name {
			return typ.Field(i).Type, true
		}
	}
	return nil, false
}

// jsonNames returns the JSON names of the fields of a struct.
func jsonNames(typ reflect.Type) []string {
	names := make([]string, 0, typ.NumField())
	for i := range typ.NumField() {
		names = append(names, jsonName(typ.Field(i)))
	}
	return names
}

// jsonName returns the name of a struct field in JSON.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// describeType returns what a value of the type may be, for messages.
func describeType(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint32, reflect.Uint64:
		return "a whole number from 0 on"
	default:
		return "a whole number"
	}
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
