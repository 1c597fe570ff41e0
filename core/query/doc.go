// Package query parses the operator language: one statement of text becomes one
// typed Statement, or an Error that points at the offending word and shows a
// valid form. Parsing has no side effects.
package query
