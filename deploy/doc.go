// Package deploy contains the settings of the deployments and a test that checks that the
// settings of each deployment are consistent.
package deploy
