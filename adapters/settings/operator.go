package settings

// Operator holds the settings of the command line. Arguments and environment
// variables win over them.
type Operator struct {
	Control  []string `json:"control" validate:"dive,ip_port"`                 // peer addresses of control hosts
	Operator string   `json:"operator" validate:"omitempty,printascii,max=64"` // name in the history
}

// LoadOperator reads and checks the settings of the command line. The error is a *Report.
func LoadOperator(path string) (*Operator, error) {
	report, o := &Report{}, &Operator{}
	if d, ok := load(path, o, report); ok {
		d.check(o)
	}
	return o, report.err()
}
