package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/ports"
)

const siteText = `{
  // a comment
  "name": "test",
  "regions": [
    {"name": "r1", "failure_domains": [
      {"name": "d1", "networks": ["127.1.1.0/24"]},
      {"name": "d2", "networks": ["127.1.2.0/24"]},
    ]},
    {"name": "r2", "failure_domains": [{"name": "d3", "networks": ["127.2.1.0/24"]}]},
  ],
  "control_hosts": [{"id": "c1", "address": "127.1.1.1:7000", "failure_domain": "d1"}],
  "urgency": "batched",
  "batch_interval": "250ms",
  "compression": "zstd",
  "risk": "punctual",
  "link_delays": {"region": "1ms", "remote": "20ms"},
}`

const nodeText = `{
  "id": "n1",
  "failure_domain": "d1",
  "addresses": {"entry": "127.1.1.2:1", "gate": "127.1.1.2:2", "peer": "127.1.1.2:3", "admin": "127.1.1.2:4"},
  "entry_services": ["bookings"],
  "seeds": ["127.1.1.3:3"],
  "grace_time": "20s",
  "memory_mb": 500,
  "site_file": "site.hujson",
}`

const controlText = `{
  "id": "c1",
  "failure_domain": "d1",
  "addresses": {"peer": "127.1.1.1:7000", "admin": "127.1.1.1:7001"},
  "data_directory": "data",
  "site_file": "site.hujson",
}`

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadValid(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write(t, dir, "site.hujson", siteText)
	n, err := LoadNode(write(t, dir, "node.hujson", nodeText))
	is.NoErr(err)
	is.Equal(n.Addresses.Admin, "127.1.1.2:4")
	is.Equal(n.Site.BatchInterval.Std().String(), "250ms")
	is.Equal(n.GraceTime.Std(), 20*time.Second)
	is.Equal(n.MemoryMB, 500)
	n, err = LoadNode(write(t, dir, "default.hujson", strings.Replace(nodeText, `"grace_time": "20s",`, "", 1)))
	is.NoErr(err)
	is.Equal(n.GraceTime.Std(), DefaultGraceTime)
	c, err := LoadControl(write(t, dir, "control.hujson", controlText))
	is.NoErr(err)
	is.Equal(c.DataDirectory, filepath.Join(dir, "data"))
	is.Equal(c.Site.FailureDomainNames(), []string{"d1", "d2", "d3"})
}

// Guards against a process that starts with invalid settings because a check is
// missing. Checks that each problem is reported with its line.
func TestLoadReportsProblems(t *testing.T) {
	cases := []struct {
		name, kind, old, text string
		want                  []string
	}{
		{"syntax", "site", `"name": "test"`, `"name" "test"`, []string{"site.hujson:3:", "JSON, comments"}},
		{"unknown key", "site", `"risk":`, `"rsik":`, []string{"site.hujson:15: rsik: found an unknown key", "risk: found nothing"}},
		{"key twice", "site", `"compression": "zstd"`, `"risk": "cautious", "compression": "zstd"`, []string{"risk: found the key twice"}},
		{"wrong type", "site", `"name": "test"`, `"name": 7`, []string{"site.hujson:3: name: found 7, expected a text"}},
		{"null", "site", `"name": "test"`, `"name": null`, []string{"found null, expected a text"}},
		{"duration", "site", `"250ms"`, `250`, []string{"site.hujson:13: batch_interval: found 250, expected a duration"}},
		{"range", "site", `"250ms"`, `"3s"`, []string{`found "3s", expected a duration from 0s to 2s`}},
		{"negative", "site", `"20ms"`, `"-20ms"`, []string{`link_delays.remote: found "-20ms", expected a duration from 0s to 1s`}},
		{"one of", "site", `"zstd"`, `"gzip"`, []string{`compression: found "gzip", expected one of none, zstd`}},
		{"urgent and batched", "site", `"batched"`, `"urgent"`, []string{`batch_interval: found "250ms"`}},
		{"batched without interval", "site", `"250ms"`, `"0s"`, []string{"batch_interval: found nothing, expected more than 0s"}},
		{"host name", "site", `127.1.1.1:7000`, `localhost:7000`, []string{`control_hosts[0].address: found "localhost:7000", expected IP:port`}},
		{"wildcard", "site", `127.1.1.1:7000`, `0.0.0.0:7000`, []string{`expected IP:port`}},
		{"port 0", "site", `127.1.1.1:7000`, `127.1.1.1:0`, []string{`expected IP:port`}},
		{"network", "site", `127.1.2.0/24`, `127.1.2.0`, []string{"site.hujson:7:", "networks[0]: found", "IP network"}},
		{"overlap", "site", `127.1.2.0/24`, `127.1.0.0/16`, []string{"does not overlap with 127.1.1.0/24 of d1"}},
		{"same name", "site", `"name": "d2"`, `"name": "d1"`, []string{`found "d1" again`}},
		{"control outside", "site", `127.1.1.1:7000`, `127.9.1.1:7000`, []string{"an address in the networks of d1: 127.1.1.0/24"}},
		{"control domain", "site", `"failure_domain": "d1"`, `"failure_domain": "d9"`, []string{`found "d9", expected one of d1, d2, d3`}},
		{"no file", "node", `site.hujson`, `none.hujson`, []string{"none.hujson", "a readable settings file"}},
		{"no site", "node", `"site_file": "site.hujson",`, ``, []string{"site_file: found nothing"}},
		{"two sites", "node", `"site_file"`, `"site": {}, "site_file"`, []string{"either site or site_file"}},
		{"shared address", "node", `127.1.1.2:3`, `127.1.1.2:2`, []string{"as in addresses.gate"}},
		{"node outside", "node", `"peer": "127.1.1.2:3"`, `"peer": "127.1.2.2:3"`, []string{"addresses.peer", "networks of d1"}},
		{"seed", "node", `127.1.1.3:3`, `127.1.1.3`, []string{"node.hujson:6: seeds[0]"}},
		{"grace without unit", "node", `"20s"`, `20`, []string{"node.hujson:7: grace_time: found 20, expected a duration"}},
		{"short grace", "node", `"20s"`, `"4s"`, []string{`grace_time: found "4s", expected a duration from 5s to 10m`}},
		{"long grace", "node", `"20s"`, `"11m"`, []string{`grace_time: found "11m0s", expected a duration from 5s to 10m`}},
		{"negative grace", "node", `"20s"`, `"-20s"`, []string{`grace_time: found "-20s"`}},
		{"little memory", "node", `500`, `63`, []string{"node.hujson:8: memory_mb: found 63, expected at least 64"}},
		{"not listed", "control", `"id": "c1"`, `"id": "c2"`, []string{"control.hujson:2: id:", "control_hosts"}},
		{"other address", "control", `127.1.1.1:7000`, `127.1.1.1:7005`, []string{`"127.1.1.1:7000" as in the site's`}},
		{"other domain", "control", `"failure_domain": "d1"`, `"failure_domain": "d2"`, []string{`"d1" as in the site's`}},
		{"no data", "control", `"data_directory": "data",`, ``, []string{"data_directory: found nothing"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir, texts := t.TempDir(), map[string]string{"site": siteText, "node": nodeText, "control": controlText}
			is.True(strings.Contains(texts[c.kind], c.old))
			texts[c.kind] = strings.Replace(texts[c.kind], c.old, c.text, 1)
			for kind, text := range texts {
				write(t, dir, kind+".hujson", text)
			}
			var err error
			switch c.kind {
			case "control":
				_, err = LoadControl(filepath.Join(dir, "control.hujson"))
			default:
				_, err = LoadNode(filepath.Join(dir, "node.hujson"))
			}
			var report *Report
			is.True(errors.As(err, &report))
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("report lacks %q:\n%v", want, err)
				}
			}
		})
	}
}

// Guards against a repair in several attempts, because the report lists the problems
// of only one of the two files.
func TestReportCoversBothFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write(t, dir, "site.hujson", strings.Replace(siteText, `"zstd"`, `"gzip"`, 1))
	_, err := LoadNode(write(t, dir, "node.hujson", strings.NewReplacer(`"n1"`, `""`, `"seeds"`, `"sedes"`).Replace(nodeText)))
	var report *Report
	is.True(errors.As(err, &report))
	is.Equal(len(report.Problems), 3)
}

func TestTopology(t *testing.T) {
	is := is.New(t)
	s, err := LoadSite(write(t, t.TempDir(), "site.hujson", siteText))
	is.NoErr(err)
	topology := NewTopology(s, "d1")
	for address, want := range map[string]ports.Link{
		"127.1.1.9:1": ports.LinkDomain, "127.1.2.9:1": ports.LinkRegion, "127.2.1.9:1": ports.LinkRemote,
		"127.9.9.9:1": ports.LinkRemote, "nonsense": ports.LinkRemote,
	} {
		is.Equal(topology.LinkTo(address), want)
	}
	is.Equal(topology.Delay("127.2.1.9:1").String(), "20ms")
	is.Equal(topology.Delay("127.1.1.9:1").String(), "0s")
	domain, region := topology.Locate("127.2.1.9:1")
	is.Equal(domain+" "+region, "d3 r2")
}

// Guards against settings that docs/settings.md does not document.
func TestDocsListEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var walk func(reflect.Type)
	walk = func(typ reflect.Type) {
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice:
			walk(typ.Elem())
		case reflect.Struct:
			for i := range typ.NumField() {
				name := jsonName(typ.Field(i))
				if !strings.Contains(string(page), "`"+name+"`") && !strings.Contains(string(page), "`"+name+".") && !strings.Contains(string(page), "."+name+"`") {
					t.Errorf("docs/settings.md does not name %q", name)
				}
				walk(typ.Field(i).Type)
			}
		}
	}
	walk(reflect.TypeFor[Node]())
	walk(reflect.TypeFor[Control]())
}
