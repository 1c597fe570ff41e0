// Package balance is the load balancer for the calls to one service. It picks two
// random candidates from the nearest locality that has capacity and uses the one
// with less expected work (power of two choices). It also implements slow start
// of cold upstreams, outlier ejection by observed outcomes and a byte budget for
// traffic to the remote region.
//
// The package does no I/O: time and random numbers are passed in.
package balance
