package settings

import (
	"fmt"
	"os"
	"path/filepath"
)

// LoadSite reads and checks a site file. The error is a *Report.
func LoadSite(path string) (*Site, error) {
	report := &Report{}
	s := loadSite(path, report)
	return s, report.err()
}

// LoadNode reads and checks the settings of a node and its site. The error is a *Report.
func LoadNode(path string) (*Node, error) {
	report, n := &Report{}, &Node{}
	d, ok := load(path, n, report)
	if !ok {
		return nil, report.err()
	}
	d.check(n)
	d.resolveSite(&n.Site, n.SiteFile)
	d.checkDistinct(map[string]string{
		"addresses.entry": n.Addresses.Entry, "addresses.gate": n.Addresses.Gate,
		"addresses.peer": n.Addresses.Peer, "addresses.admin": n.Addresses.Admin,
	}, []string{"addresses.entry", "addresses.gate", "addresses.peer", "addresses.admin"})
	if n.Site != nil {
		d.checkDomain(n.Site, n.FailureDomain, "failure_domain", n.Addresses.Peer, "addresses.peer")
		d.checkDomain(n.Site, n.FailureDomain, "failure_domain", n.Addresses.Gate, "addresses.gate")
	}
	if n.GraceTime == 0 {
		n.GraceTime = Duration(DefaultGraceTime)
	}
	return n, report.err()
}

// LoadControl reads and checks the settings of a control host and its site. A relative
// DataDirectory is resolved against the directory of the file. The error is a *Report.
func LoadControl(path string) (*Control, error) {
	report, c := &Report{}, &Control{}
	d, ok := load(path, c, report)
	if !ok {
		return nil, report.err()
	}
	d.check(c)
	d.resolveSite(&c.Site, c.SiteFile)
	d.checkDistinct(map[string]string{"addresses.peer": c.Addresses.Peer, "addresses.admin": c.Addresses.Admin},
		[]string{"addresses.peer", "addresses.admin"})
	if c.Site != nil {
		d.checkListed(c)
	}
	if c.DataDirectory != "" && !filepath.IsAbs(c.DataDirectory) {
		c.DataDirectory = filepath.Join(filepath.Dir(path), c.DataDirectory)
	}
	return c, report.err()
}

// load reads and decodes a file. It returns false when the file cannot be read or
// parsed, so that its values cannot be checked.
func load(path string, target any, report *Report) (*document, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		report.Problems = append(report.Problems, Problem{File: path, Found: err.Error(), Expected: "a readable settings file"})
		return nil, false
	}
	d := decode(path, data, target, report)
	return d, !d.invalid[""]
}

func loadSite(path string, report *Report) *Site {
	s := &Site{}
	d, ok := load(path, s, report)
	if !ok {
		return nil
	}
	d.check(s)
	d.checkSite(s, "")
	return s
}

// resolveSite loads the site file into *s unless the site is inline, and checks the
// site. A relative file name is resolved against the directory of the document.
func (d *document) resolveSite(s **Site, file string) {
	switch {
	case *s != nil && file != "":
		d.addProblem("site_file", fmt.Sprintf("%q and an inline site", file), "either site or site_file")
	case *s != nil:
		d.checkSite(*s, "site")
	case d.isInvalid("site_file"):
	case file == "":
		d.addProblem("site_file", "nothing", "site_file with the name of a site file, or an inline site")
	default:
		if !filepath.IsAbs(file) {
			file = filepath.Join(filepath.Dir(d.file), file)
		}
		*s = loadSite(file, d.report)
	}
}

// checkDistinct reports listeners that share an address. addresses maps paths to
// addresses; order lists the paths.
func (d *document) checkDistinct(addresses map[string]string, order []string) {
	seen := map[string]string{}
	for _, path := range order {
		a := addresses[path]
		if first, ok := seen[a]; ok && a != "" {
			d.addProblem(path, fmt.Sprintf("%q as in %s", a, first), "an address of its own for each listener")
			continue
		}
		seen[a] = path
	}
}

// checkListed reports a control host that is not in the site's control_hosts, or is
// listed there with a different address or failure domain.
func (d *document) checkListed(c *Control) {
	h, ok := c.Site.Control(c.ID)
	if !ok {
		if !d.isInvalid("id") && c.ID != "" {
			d.addProblem("id", fmt.Sprintf("%q", c.ID), "the id of one of the site's control_hosts")
		}
		return
	}
	if h.Address != c.Addresses.Peer {
		d.addProblem("addresses.peer", fmt.Sprintf("%q", c.Addresses.Peer), fmt.Sprintf("%q as in the site's control_hosts", h.Address))
	}
	if h.FailureDomain != c.FailureDomain {
		d.addProblem("failure_domain", fmt.Sprintf("%q", c.FailureDomain), fmt.Sprintf("%q as in the site's control_hosts", h.FailureDomain))
	}
}
