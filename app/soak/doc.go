// Package soak runs the real processes on loopback addresses under a seeded
// schedule of signals, restarts, planned stops of one or more nodes, evacuations of failure domains, and disturbed connections
// (from clients to nodes, and from nodes to their upstreams). Plans have organisations whose keys change, and
// upstreams that were replaced or have crashed are cold. From the observations of clients and
// upstreams it checks these guarantees:
//
//   - A write, a request that must not be repeated, runs at most once.
//   - No client receives the answer to another request.
//   - A request that was rejected as not run has not run and does not run later.
//   - A request that reached an upstream is answered, whether or not its node stops meanwhile. The
//     users' rules on planned stops name the exceptions, see losses.
//   - A process that receives SIGTERM ends by itself within the grace time.
//   - An acknowledged plan is neither lost nor followed by a read of an older one.
//   - Every node serves again after the last fault, and every upstream runs requests again.
//   - A key that a plan withdrew is rejected by nodes in touch (see touch), a request without a key of any plan never runs, and
//     a key of the plan is accepted. An upstream learns the organisation of a request and never a key; no log contains a key.
//   - The requests of an organisation that run stay within its quota, over all nodes, in touch or not.
//   - An acknowledged evacuation stays in force until it is withdrawn: no node in touch sends requests to the failure domain.
//   - A cold upstream gets no more requests in any second than the plan and the settings allow.
//
// A violation names the seed, the time since the begin of the schedule and the nodes.
package soak
