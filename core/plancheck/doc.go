// Package plancheck finds what an operator should know before sending a plan: entries that no request can use, limits that
// contradict each other, and the differences from another plan with their effects. It does no I/O and reads no clock.
//
// Plans that are invalid are accepted too; their problems are found by package plan and are not repeated here. No text of
// a finding contains a key.
package plancheck
