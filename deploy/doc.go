// Package deploy holds the settings of the deployments and the test that checks
// them as a whole.
package deploy
