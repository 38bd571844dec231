// Package integ holds the integration tests: real processes of the built
// program, with a fault-injecting proxy on each link. One file is one scenario.
package integ
