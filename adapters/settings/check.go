package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"
)

const maxNameLength = 64

var newValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	register := func(tag string, valid func(string) bool) {
		check := func(f validator.FieldLevel) bool { return valid(f.Field().String()) }
		if err := v.RegisterValidation(tag, check); err != nil {
			panic("settings: validation " + tag + ": " + err.Error()) // a bug in this package
		}
	}
	if err := v.RegisterValidation("up_to", isUpTo); err != nil {
		panic("settings: validation up_to: " + err.Error()) // a bug in this package
	}
	if err := v.RegisterValidation("between", isBetween); err != nil {
		panic("settings: validation between: " + err.Error()) // a bug in this package
	}
	register("name", isName)
	register("ip_port", isHostAddress)
	return v
})

// isUpTo validates a Duration from 0 to the parameter of the tag. The validators min
// and max of the library cannot parse a Duration parameter.
func isUpTo(f validator.FieldLevel) bool {
	limit, err := time.ParseDuration(f.Param())
	return err == nil && f.Field().Int() >= 0 && f.Field().Int() <= int64(limit)
}

// isBetween validates a Duration from the first to the second parameter of the tag.
func isBetween(f validator.FieldLevel) bool {
	bounds := strings.Fields(f.Param())
	if len(bounds) != 2 {
		return false
	}
	low, lowErr := time.ParseDuration(bounds[0])
	high, highErr := time.ParseDuration(bounds[1])
	return lowErr == nil && highErr == nil && f.Field().Int() >= int64(low) && f.Field().Int() <= int64(high)
}

// isName reports whether s is a name of 1 to maxNameLength bytes without space, slash
// or quote.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameLength && !strings.ContainsAny(s, " \t\r\n/\"'")
}

// isHostAddress reports whether s is IP:port with a port other than 0. It rejects
// wildcard and multicast addresses, because peers connect to the address.
func isHostAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// expectations maps validation tags to the expected value in a Problem.
var expectations = map[string]string{
	"required": "a value",
	"name":     fmt.Sprintf("a name of 1 to %d characters without space, slash or quote", maxNameLength),
	"ip_port":  "IP:port with an IP number of this host and a port from 1 to 65535, such as 127.1.1.1:7000",
	"cidr":     "an IP network, such as 127.1.1.0/24",
}

// check runs the validations of the struct tags of target and reports their
// failures, except for values that could not be decoded.
func (d *document) check(target any) {
	var found validator.ValidationErrors
	if !errors.As(newValidator().Struct(target), &found) {
		return
	}
	for _, f := range found {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		if !d.isInvalid(path) {
			d.addProblem(path, foundText(f), expectedText(f))
		}
	}
}

// foundText describes the value that failed a validation.
func foundText(f validator.FieldError) string {
	v := reflect.ValueOf(f.Value())
	switch {
	case f.Tag() == "required":
		return "nothing"
	case f.Type() == durationType:
		return fmt.Sprintf("%q", v.Interface().(Duration).Std())
	case v.Kind() == reflect.Slice:
		return fmt.Sprintf("%d entries", v.Len())
	case v.Kind() == reflect.String:
		return fmt.Sprintf("%q", v.String())
	default:
		return fmt.Sprint(f.Value())
	}
}

// expectedText describes the value that a validation expects.
func expectedText(f validator.FieldError) string {
	if text, ok := expectations[f.Tag()]; ok {
		return text
	}
	switch f.Tag() {
	case "oneof":
		return "one of " + strings.Join(strings.Fields(f.Param()), ", ")
	case "up_to":
		return "a duration from 0s to " + f.Param()
	case "between":
		return "a duration from " + strings.Join(strings.Fields(f.Param()), " to ")
	case "min":
		return "at least " + f.Param()
	case "max":
		return "at most " + f.Param()
	default:
		return f.Tag() + " " + f.Param()
	}
}
