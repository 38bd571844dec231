// Package integ holds the integration tests. They run real processes of the built
// program and put a fault-injecting proxy on each link. Each file covers one scenario
// or one group of related scenarios.
package integ
