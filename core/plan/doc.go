// Package plan is the model of the routing plan, which an operator replaces as a
// whole: its validation, its encoding, the digest by which equal plans are
// recognised, the table that finds the route of a request and the splitter that
// distributes the requests of a route over its targets.
//
// All functions but the methods of a Splitter are pure. A Table is immutable and
// holds one plan, so a request never sees a mixture of two plans.
package plan
