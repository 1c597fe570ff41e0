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

const maxShownValue = 60 // bytes of a value that a problem quotes

// document is one parsed file with the line of each path.
type document struct {
	file   string
	data   []byte
	lines  map[string]int
	bad    map[string]bool // paths with a problem of their type; they are not checked further
	report *Report
}

// decode fills target from JSON with comments; all problems go to the report.
func decode(file string, data []byte, target any, report *Report) *document {
	d := &document{file: file, data: data, lines: map[string]int{}, bad: map[string]bool{}, report: report}
	value, err := hujson.Parse(data)
	if err != nil {
		d.syntax(err)
		return d
	}
	d.value(value, reflect.ValueOf(target).Elem(), "")
	return d
}

// syntax reports a parse error; the library's text starts with "hujson: line N, column M: ".
func (d *document) syntax(err error) {
	line, text := 1, strings.TrimPrefix(err.Error(), "hujson: ")
	var column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
	}
	d.bad[""] = true
	d.report.Problems = append(d.report.Problems, Problem{
		File: d.file, Line: line, Found: text, Expected: "JSON, comments and trailing commas are allowed",
	})
}

// line of a path, or of its closest parent when the path is absent.
func (d *document) line(path string) int {
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

func (d *document) add(path, found, expected string) {
	d.report.Problems = append(d.report.Problems, Problem{d.file, d.line(path), path, found, expected})
}

// isBad reports a path below or at which a problem of the type was found.
func (d *document) isBad(path string) bool {
	for p := path; ; {
		if d.bad[p] {
			return true
		}
		cut := strings.LastIndexAny(p, ".[")
		if cut < 0 {
			return d.bad[""]
		}
		p = p[:cut]
	}
}

func (d *document) mismatch(v hujson.Value, path, expected string) {
	d.bad[path] = true
	d.add(path, shown(v), expected)
}

func shown(v hujson.Value) string {
	c := v.Clone()
	c.Minimize()
	text := string(c.Pack())
	if len(text) > maxShownValue {
		text = text[:maxShownValue] + "..."
	}
	return text
}

var durationType = reflect.TypeFor[Duration]()

func (d *document) value(v hujson.Value, target reflect.Value, path string) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = 1 + bytes.Count(d.data[:v.StartOffset], []byte("\n"))
	}
	switch {
	case target.Type() == durationType:
		d.duration(v, target, path)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(v, target.Elem(), path)
	case target.Kind() == reflect.Struct:
		d.object(v, target, path)
	case target.Kind() == reflect.Slice:
		d.array(v, target, path)
	default:
		d.literal(v, target, path)
	}
}

func (d *document) object(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.mismatch(v, path, "an object { }")
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
		child := join(path, name)
		if !seen[name] {
			d.lines[child] = 1 + bytes.Count(d.data[:m.Name.StartOffset], []byte("\n"))
		}
		i, known := fields[name]
		switch {
		case !known:
			d.add(child, "an unknown key", "one of "+strings.Join(names, ", "))
		case seen[name]:
			d.add(child, "the key twice", "each key once")
		default:
			d.value(m.Value, target.Field(i), child)
		}
		seen[name] = true
	}
}

func (d *document) array(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.mismatch(v, path, "a list [ ]")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		d.value(e, target.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

func (d *document) duration(v hujson.Value, target reflect.Value, path string) {
	const expected = `a duration in quotes, such as "250ms" or "2s"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.mismatch(v, path, expected)
		return
	}
	parsed, err := time.ParseDuration(literal.String())
	if err != nil {
		d.mismatch(v, path, expected)
		return
	}
	target.SetInt(int64(parsed))
}

func (d *document) literal(v hujson.Value, target reflect.Value, path string) {
	expected := map[reflect.Kind]string{
		reflect.String: "a text in quotes", reflect.Bool: "true or false", reflect.Int: "a whole number",
		reflect.Float64: "a number",
	}[target.Kind()]
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, target.Addr().Interface()) != nil ||
		target.Kind() == reflect.Float64 && math.IsInf(target.Float(), 0) {
		d.mismatch(v, path, expected)
	}
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
