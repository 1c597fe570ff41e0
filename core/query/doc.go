// Package query parses the operator language. The text of one statement becomes
// a typed Statement, or an Error that points at the invalid word and shows a
// valid form. Parsing has no side effects.
package query
