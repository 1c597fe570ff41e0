package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against invalid settings of the command line client that are used in part,
// and against a report that lists only the first problem.
func TestLoadOperator(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "operator.hujson")
	is.NoErr(os.WriteFile(path, []byte("{\n \"control\": [\"127.1.1.1:7000\", \"tower\"], // ours\n \"opertor\": \"desk\",\n}"), 0o600))
	_, err := LoadOperator(path)
	is.True(err != nil)
	for _, want := range []string{":2", "tower", ":3", "opertor"} {
		is.True(strings.Contains(err.Error(), want)) // the report has the line and the value
	}
	is.NoErr(os.WriteFile(path, []byte(`{"control": ["127.1.1.1:7000"], "operator": "night desk"}`), 0o600))
	o, err := LoadOperator(path)
	is.NoErr(err)
	is.Equal(*o, Operator{Control: []string{"127.1.1.1:7000"}, Operator: "night desk"})
}
