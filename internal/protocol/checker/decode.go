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

// Mistake is one thing wrong in a settings file.
type Mistake struct {
	Line    int
	Field   string
	Value   string
	Allowed string
}

// String says where the mistake is and what is allowed there.
func (m Mistake) String() string {
	return fmt.Sprintf("line %d: %s: %s is not allowed; allowed: %s", m.Line, m.Field, m.Value, m.Allowed)
}

// MistakesError is every mistake found in one settings file.
type MistakesError struct {
	Mistakes []Mistake
}

// Error lists the mistakes, one a line.
func (e *MistakesError) Error() string {
	lines := make([]string, 0, len(e.Mistakes))
	for _, mistake := range e.Mistakes {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// place is where a field stands and what is written there.
type place struct {
	line  int
	value string
}

type walker struct {
	source   []byte
	standard []byte
	places   map[string]place
	mistakes []Mistake
}

// decode fills the target from the source, and returns where each field stands.
func decode(source []byte, target any) (*walker, error) {
	w := &walker{
		source: source,
		places: map[string]place{},
	}
	tree, err := hujson.Parse(source)
	if err != nil {
		return w, &MistakesError{
			Mistakes: []Mistake{{
				Line:    1,
				Field:   "file",
				Value:   err.Error(),
				Allowed: "JSON with comments",
			}},
		}
	}
	w.walk(&tree, reflect.TypeOf(target).Elem(), "")
	tree.Standardize()
	w.standard = tree.Pack()
	// What has a wrong type is passed over, so that the values of the rest are checked too.
	err = json.Unmarshal(w.standard, target)
	var wrongType *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &wrongType) {
		return w, fmt.Errorf("settings: %w", err)
	}
	return w, nil
}

// err returns the mistakes in the order of their lines.
func (w *walker) err() error {
	if len(w.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(w.mistakes, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return &MistakesError{
		Mistakes: w.mistakes,
	}
}

// complain notes a mistake at a field, unless the field or what holds it has one already.
func (w *walker) complain(field, allowed string) {
	if w.isBlamed(field) {
		return
	}
	at, ok := w.places[field]
	if !ok {
		at = place{
			line:  w.places[holderOf(field)].line,
			value: "nothing",
		}
	}
	if field == "" {
		field = "file"
	}
	w.mistakes = append(w.mistakes, Mistake{
		Line:    at.line,
		Field:   field,
		Value:   at.value,
		Allowed: allowed,
	})
}

func (w *walker) isBlamed(field string) bool {
	return slices.ContainsFunc(w.mistakes, func(m Mistake) bool {
		return m.Field == field || m.Field == "file" || strings.HasPrefix(field, m.Field+".") || strings.HasPrefix(field, m.Field+"[")
	})
}

// holderOf returns the object that holds a field; the whole file has the empty name.
func holderOf(field string) string {
	return field[:max(0, strings.LastIndexAny(field, "."))]
}

func (w *walker) walk(value *hujson.Value, kind reflect.Type, field string) {
	w.places[field] = place{
		line:  w.line(value.StartOffset),
		value: w.text(value),
	}
	if kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	switch kind.Kind() {
	case reflect.Struct:
		w.walkObject(value, kind, field)
	case reflect.Slice:
		w.walkArray(value, kind, field)
	default:
		w.walkLiteral(value, kind, field)
	}
}

func (w *walker) walkObject(value *hujson.Value, kind reflect.Type, field string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		w.complain(field, "an object")
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		path := join(field, name)
		memberKind, known := fieldOf(kind, name)
		if !known {
			w.places[path] = place{
				line:  w.line(member.Name.StartOffset),
				value: w.text(&member.Value),
			}
			w.complain(path, "one of "+strings.Join(fieldNames(kind), ", "))
			continue
		}
		w.walk(&member.Value, memberKind, path)
	}
}

func (w *walker) walkArray(value *hujson.Value, kind reflect.Type, field string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		w.complain(field, "a list")
		return
	}
	for i := range array.Elements {
		w.walk(&array.Elements[i], kind.Elem(), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (w *walker) walkLiteral(value *hujson.Value, kind reflect.Type, field string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		w.complain(field, nameOf(kind))
		return
	}
	if json.Unmarshal(literal, reflect.New(kind).Interface()) != nil || literal.Kind() == 'n' {
		w.complain(field, nameOf(kind))
	}
}

func (w *walker) line(offset int) int {
	return 1 + bytes.Count(w.source[:offset], []byte("\n"))
}

func (w *walker) text(value *hujson.Value) string {
	const mostShown = 60
	text := strings.TrimSpace(string(w.source[value.StartOffset:value.EndOffset]))
	if len(text) > mostShown {
		text = text[:mostShown] + "…"
	}
	return text
}

func fieldOf(kind reflect.Type, name string) (reflect.Type, bool) {
	for i := range kind.NumField() {
		if nameIn(kind.Field(i)) == name {
			return kind.Field(i).Type, true
		}
	}
	return nil, false
}

func fieldNames(kind reflect.Type) []string {
	names := make([]string, 0, kind.NumField())
	for i := range kind.NumField() {
		names = append(names, nameIn(kind.Field(i)))
	}
	return names
}

// nameIn returns the name that a struct's field has in JSON.
func nameIn(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func nameOf(kind reflect.Type) string {
	switch kind.Kind() {
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

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
