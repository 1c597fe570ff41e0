package operator

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Settings of the command line, from an optional file of JSON with comments.
type Settings struct {
	Control  []string `json:"control"`  // IP:port of control hosts
	Operator string   `json:"operator"` // name in the history
}

// ReadSettings reads a file; unknown keys are errors.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	text, err := os.ReadFile(path)
	if err != nil {
		return s, eris.Wrapf(err, "cannot read %s", path)
	}
	text, err = hujson.Standardize(text)
	if err != nil {
		return s, eris.Errorf("%s: %v", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, eris.Errorf("%s: %v; allowed are control (list of IP:port) and operator (name)", path, err)
	}
	return s, nil
}
