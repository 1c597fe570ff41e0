// Package placement picks the node that runs a request: the one with the lowest
// expected cost from late answers, failures, rejections and bytes transferred between
// failure domains and regions, as far as the picking node knows. It does no I/O and reads no clock.
package placement
