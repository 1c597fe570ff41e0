package settings

// Operator holds the settings of the command line client. Arguments and environment
// variables override them.
type Operator struct {
	Control  []string `json:"control" validate:"dive,ip_port"`                 // peer addresses of control hosts
	Operator string   `json:"operator" validate:"omitempty,printascii,max=64"` // name that the history records
}

// LoadOperator reads and checks the settings of the command line client. The error
// is a *Report.
func LoadOperator(path string) (*Operator, error) {
	report, o := &Report{}, &Operator{}
	if d, ok := load(path, o, report); ok {
		d.check(o)
	}
	return o, report.err()
}
