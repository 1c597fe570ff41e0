package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

const maxExcerptBytes = 60 // bytes of a value that are quoted in a Problem

// document is a parsed settings file. A path names a value in it, for example
// regions[0].name; the path of the whole document is "".
type document struct {
	file    string
	data    []byte
	lines   map[string]int  // line of each path, from 1
	invalid map[string]bool // paths whose values could not be decoded; they are not checked further
	report  *Report
}

// decode decodes JSON with comments into target, a pointer to a struct, and adds all
// problems to the report.
func decode(file string, data []byte, target any, report *Report) *document {
	d := &document{file: file, data: data, lines: map[string]int{}, invalid: map[string]bool{}, report: report}
	value, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.decodeValue(value, reflect.ValueOf(target).Elem(), "")
	return d
}

// addSyntaxError adds a parse error to the report. The text of hujson starts with
// "hujson: line N, column M: ".
func (d *document) addSyntaxError(err error) {
	line, text := 1, strings.TrimPrefix(err.Error(), "hujson: ")
	var column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
	}
	d.invalid[""] = true
	d.report.Problems = append(d.report.Problems, Problem{
		File: d.file, Line: line, Found: text, Expected: "JSON, comments and trailing commas are allowed",
	})
}

// lineOf returns the line of a path, or that of its closest parent if the path is
// absent from the document.
func (d *document) lineOf(path string) int {
	for {
		if n, ok := d.lines[path]; ok {
			return n
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

// addProblem adds a problem with the value at a path to the report.
func (d *document) addProblem(path, found, expected string) {
	d.report.Problems = append(d.report.Problems, Problem{d.file, d.lineOf(path), path, found, expected})
}

// isInvalid reports whether the value at a path, or at one of its parents, could not
// be decoded.
func (d *document) isInvalid(path string) bool {
	for p := path; ; {
		if d.invalid[p] {
			return true
		}
		cut := strings.LastIndexAny(p, ".[")
		if cut < 0 {
			return d.invalid[""]
		}
		p = p[:cut]
	}
}

// addTypeError adds a value of a wrong type to the report and marks its path as
// invalid.
func (d *document) addTypeError(v hujson.Value, path, expected string) {
	d.invalid[path] = true
	d.addProblem(path, excerpt(v), expected)
}

// excerpt returns the first maxExcerptBytes of a value, without comments.
func excerpt(v hujson.Value) string {
	c := v.Clone()
	c.Minimize()
	text := string(c.Pack())
	if len(text) > maxExcerptBytes {
		text = text[:maxExcerptBytes] + "..."
	}
	return text
}

var durationType = reflect.TypeFor[Duration]()

// decodeValue decodes v into target by the type of target.
func (d *document) decodeValue(v hujson.Value, target reflect.Value, path string) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = 1 + bytes.Count(d.data[:v.StartOffset], []byte("\n"))
	}
	switch {
	case target.Type() == durationType:
		d.decodeDuration(v, target, path)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(v, target.Elem(), path)
	case target.Kind() == reflect.Struct:
		d.decodeObject(v, target, path)
	case target.Kind() == reflect.Slice:
		d.decodeArray(v, target, path)
	default:
		d.decodeLiteral(v, target, path)
	}
}

func (d *document) decodeObject(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addTypeError(v, path, "an object { }")
		return
	}
	fields := map[string]int{}
	var names []string
	for i := range target.NumField() {
		name := jsonName(target.Type().Field(i))
		fields[name] = i
		names = append(names, name)
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		child := joinPath(path, name)
		if !seen[name] {
			d.lines[child] = 1 + bytes.Count(d.data[:m.Name.StartOffset], []byte("\n"))
		}
		i, known := fields[name]
		switch {
		case !known:
			d.addProblem(child, "an unknown key", "one of "+strings.Join(names, ", "))
		case seen[name]:
			d.addProblem(child, "the key twice", "each key once")
		default:
			d.decodeValue(m.Value, target.Field(i), child)
		}
		seen[name] = true
	}
}

func (d *document) decodeArray(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addTypeError(v, path, "a list [ ]")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		d.decodeValue(e, target.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (d *document) decodeDuration(v hujson.Value, target reflect.Value, path string) {
	const expected = `a duration in quotes, such as "250ms" or "2s"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.addTypeError(v, path, expected)
		return
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		d.addTypeError(v, path, expected)
		return
	}
	target.SetInt(int64(parsed))
}

func (d *document) decodeLiteral(v hujson.Value, target reflect.Value, path string) {
	expected := map[reflect.Kind]string{
		reflect.String: "a text in quotes", reflect.Bool: "true or false", reflect.Int: "a whole number",
		reflect.Float64: "a number",
	}[target.Kind()]
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, target.Addr().Interface()) != nil ||
		target.Kind() == reflect.Float64 && math.IsInf(target.Float(), 0) {
		d.addTypeError(v, path, expected)
	}
}

// jsonName returns the key of a struct field.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
