// Package estimator measures how the control work of an instance grows and
// computes each role at the size that the fleet must grow to.
package estimator

import "time"

// The size that the fleet must grow to.
const (
	targetInstances = 7100
	targetBackends  = 61000
	targetServices  = 2700
	targetRoutes    = 22000
	targetRequests  = 1.1e6
	targetDomains   = 24
	// Per day.
	targetChanges  = 4900
	targetFailures = 120
	targetRestarts = 13000
)

// Budgets of one instance for control.
const (
	budgetCore   = 0.01
	budgetMemory = 32 << 20
	budgetBytes  = 16 << 10
	// budgetWrites and budgetReads are those of the platform's store, per
	// second.
	budgetWrites = 300
	budgetReads  = 2000
)

const day = 24 * time.Hour

// perSecond returns a rate a second from a number a day.
func perSecond(n float64) float64 { return n / day.Seconds() }

// backendsPerService is the mean size of a service.
const backendsPerService = targetBackends / targetServices

// slotsPerBackend is the number of slots that the page assumes.
const slotsPerBackend = 4

// servingPerService and servicesPerInstance follow from the rule of package
// allocator at that size.
const (
	servingPerService   = 3
	servicesPerInstance = float64(targetServices*servingPerService) / targetInstances
)
