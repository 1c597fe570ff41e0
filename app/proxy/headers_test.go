package proxy

import (
	"testing"
	"time"
)

// Guards against a time limit in a header that is no decimal number, such as NaN, whose conversion depends on the
// processor, and against one that is changed by its conversion.
func TestTimeLimitInHeaderIsADecimalNumber(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0": 0, "1": time.Millisecond, "2500": 2500 * time.Millisecond, "4.1": 4100 * time.Microsecond, "1e3": time.Second, "0.000001": 1,
		"2147483648": maxMs * time.Millisecond,
	} {
		if got, ok := parseMs([]byte(text)); !ok || got != want {
			t.Errorf("%q is %v, %v", text, got, ok)
		}
	}
	for _, text := range []string{"", "NaN", "nan", "Inf", "-inf", "-1", "2147483649", "1e400", "0x10", "0X1p-2", "1_0", " 1", "1 ", "1ms", "1,5"} {
		if got, ok := parseMs([]byte(text)); ok {
			t.Errorf("%q is %v", text, got)
		}
	}
}
