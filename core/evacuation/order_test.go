package evacuation

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/core/nodetable"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against orders about failure domains that do not exist, orders that undo newer ones or omit the failure domains that
// must not all be evacuated, and a domain that stays evacuated because it was removed from the settings.
func TestNewOrder(t *testing.T) {
	is := is.New(t)
	site := []string{"d1", "d2"}
	newest := []*pb.Evacuation{{FailureDomain: "d1", Serial: 3}, {FailureDomain: "d2", Serial: 7}, {FailureDomain: "gone", Active: true, Serial: 5}}
	for _, active := range []bool{true, false} {
		o, err := NewOrder("d1", active, site, newest)
		is.NoErr(err)
		is.Equal(o.GetActive(), active)
		is.Equal(o.GetBaseSerial(), uint64(3))
		is.Equal(o.GetFailureDomains(), site)
		_, err = NewOrder("d9", active, site, newest)
		var unknown *UnknownError
		is.True(errors.As(err, &unknown))
		is.Equal(unknown.Error(), "failure domain d9 is not known; this site has d1, d2")
		o, err = NewOrder("d9", active, nil, newest) // the site is not known
		is.NoErr(err)
		is.True(o.BaseSerial != nil && o.GetBaseSerial() == 0)
		for _, name := range []string{"", strings.Repeat("x", nodetable.MaxTextBytes+1)} {
			_, err = NewOrder(name, active, nil, newest)
			is.Equal(err, ErrName)
		}
	}
	_, err := NewOrder("gone", true, site, newest)
	is.True(err != nil)
	o, err := NewOrder("gone", false, site, newest)
	is.NoErr(err)
	is.Equal(o.GetBaseSerial(), uint64(5))
}
