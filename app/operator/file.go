package operator

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxFileBytes bounds the size of a file of changes. The largest valid
// configuration is smaller.
const maxFileBytes = 8 << 20

// FileError lists all problems of a file of changes.
type FileError struct {
	File     string
	Problems []string // with line numbers when they are known
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %s; nothing was changed\n  %s", e.File, countProblems(len(e.Problems)), strings.Join(e.Problems, "\n  "))
}

// ReadChanges reads a file of changes: JSON with comments that holds the services
// and routes to put and the names of those to delete. For an invalid file the
// error is a *FileError.
func ReadChanges(path string) ([]*pb.Change, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot read %s", path)
	}
	if info.Size() > maxFileBytes {
		return nil, &FileError{path, []string{fmt.Sprintf("the file has %d bytes, at most %d are allowed", info.Size(), maxFileBytes)}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot read %s", path)
	}
	changes, problems := ParseChanges(text)
	if len(problems) > 0 {
		return nil, &FileError{path, problems}
	}
	return changes, nil
}

// ParseChanges parses the content of a file of changes. It returns the changes
// and all problems of the content.
func ParseChanges(text []byte) ([]*pb.Change, []string) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, []string{err.Error()}
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, []string{"line 1: the file must hold one object with services, routes, delete_services or delete_routes"}
	}
	p := fileParser{text: text}
	for i := range object.Members {
		p.member(&object.Members[i])
	}
	if len(p.problems) == 0 && len(p.changes) == 0 {
		p.problems = append(p.problems, "the file changes nothing: it needs services, routes, delete_services or delete_routes")
	}
	// Services are put before the routes that refer to them, and routes are deleted before services.
	sort.SliceStable(p.changes, func(a, b int) bool { return changeOrder(p.changes[a]) < changeOrder(p.changes[b]) })
	return p.changes, p.problems
}

// changeOrder returns the position of a kind of change in the order of application.
func changeOrder(c *pb.Change) int {
	switch c.GetChange().(type) {
	case *pb.Change_PutService:
		return 0
	case *pb.Change_PutRoute:
		return 1
	case *pb.Change_DeleteRoute:
		return 2
	default:
		return 3
	}
}

type fileParser struct {
	text     []byte
	changes  []*pb.Change
	problems []string
}

func (p *fileParser) fail(offset int, format string, args ...any) {
	line := 1 + strings.Count(string(p.text[:min(offset, len(p.text))]), "\n")
	p.problems = append(p.problems, fmt.Sprintf("line %d: ", line)+fmt.Sprintf(format, args...))
}

func (p *fileParser) member(m *hujson.ObjectMember) {
	name := m.Name.Value.(hujson.Literal).String()
	items, isArray := m.Value.Value.(*hujson.Array)
	readItem, known := itemReaders[name]
	switch {
	case !known:
		p.fail(m.Name.StartOffset, "unknown key %q; allowed are services, routes, delete_services, delete_routes", name)
	case !isArray:
		p.fail(m.Value.StartOffset, "%s must be a list", name)
	default:
		for i := range items.Elements {
			item := items.Elements[i]
			if err := readItem(p, item); err != nil {
				p.fail(item.StartOffset, "%s[%d]: %v", name, i, err)
			}
		}
	}
}

// itemReaders holds the function that reads an item of each list in the file.
var itemReaders = map[string]func(*fileParser, hujson.Value) error{
	"services": func(p *fileParser, v hujson.Value) error {
		s := &pb.Service{}
		p.changes = append(p.changes, &pb.Change{Change: &pb.Change_PutService{PutService: s}})
		return readMessage(v, s, s.GetName)
	},
	"routes": func(p *fileParser, v hujson.Value) error {
		r := &pb.Route{}
		p.changes = append(p.changes, &pb.Change{Change: &pb.Change_PutRoute{PutRoute: r}})
		return readMessage(v, r, r.GetName)
	},
	"delete_services": func(p *fileParser, v hujson.Value) error {
		name, err := readName(v)
		p.changes = append(p.changes, &pb.Change{Change: &pb.Change_DeleteService{DeleteService: name}})
		return err
	},
	"delete_routes": func(p *fileParser, v hujson.Value) error {
		name, err := readName(v)
		p.changes = append(p.changes, &pb.Change{Change: &pb.Change_DeleteRoute{DeleteRoute: name}})
		return err
	},
}

func readMessage(v hujson.Value, into proto.Message, name func() string) error {
	v = v.Clone()
	v.Standardize()
	if err := protojson.Unmarshal(v.Pack(), into); err != nil {
		return eris.New(errorText(err))
	}
	if name() == "" {
		return eris.New("name is missing")
	}
	return nil
}

// errorText returns the text of a protojson error without its unstable prefix and
// without the position, which is relative to the item instead of the file.
func errorText(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	text = strings.TrimPrefix(text, "proto: ")
	if i := strings.Index(text, "): "); strings.HasPrefix(text, "(line") && i > 0 {
		text = text[i+len("): "):]
	}
	return text
}

func readName(v hujson.Value) (string, error) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' || literal.String() == "" {
		return "", eris.New("must be a name in quotes")
	}
	return literal.String(), nil
}
