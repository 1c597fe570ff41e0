// Package plan is the model of the routing configuration that an operator
// replaces as a whole: validation, encoding, the digest that tells equal plans,
// and the table that finds the route of a request.
//
// Every function is pure. A Table is immutable and replaced as a whole, so a
// request never sees parts of two plans.
package plan
