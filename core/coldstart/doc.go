// Package coldstart bounds the requests to upstreams in their slow start ("cold" upstreams). A Tracker, of the gate in front
// of an upstream, knows whether the upstream is cold and bounds what it is sent. A Pacer, of an entry, spreads the requests
// of many entries over what a cold upstream takes. The package does no I/O and reads no clock.
package coldstart
