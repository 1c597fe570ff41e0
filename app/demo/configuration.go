package demo

// firstConfiguration returns the content of the file that the apply statement reads.
func (l *layout) firstConfiguration() any {
	type object = map[string]any
	limits := object{"slots": 9, "max_connections": 120, "max_queue": 32, "max_request_bytes": 65536, "timeout_ms": 2000}
	service := func(name string, uses ...string) object {
		return object{
			"name": name, "active_version": versionOld, "uses": uses, "limits": limits,
			"ledger_members": l.ledgerNodes(name), "retry_budget_percent": 10, "risk": "RISK_PREFERENCE_PUNCTUAL",
		}
	}
	route := func(name, path, method, service string, idempotent bool, class string) object {
		return object{
			"name": name, "path_prefix": path, "methods": []string{method}, "service": service,
			"idempotent": idempotent, "class": class,
		}
	}
	return object{
		"services": []object{service(serviceBookings, serviceTills), service(serviceTills)},
		"routes": []object{
			route("climbing-times", "/climbing-times", "GET", serviceBookings, true, "read"),
			route("reservations-read", "/reservations", "GET", serviceBookings, true, "read"),
			route("reservations-write", "/reservations", "POST", serviceBookings, false, "write"),
			route("fares-read", "/fares", "GET", serviceTills, true, "read"),
			route("fares-write", "/fares", "POST", serviceTills, false, "fare"),
		},
	}
}
