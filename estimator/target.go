// Package estimator measures how the control work of an instance grows with the
// fleet and computes the load of each role at the target size.
package estimator

import "time"

// The target size of the fleet.
const (
	targetInstances = 7100
	targetBackends  = 61000
	targetServices  = 2700
	targetRoutes    = 22000
	targetRequests  = 1.1e6
	targetDomains   = 24
	// Events per day.
	targetChanges  = 4900
	targetFailures = 120
	targetRestarts = 13000
)

// Budgets of one instance for control work: a share of a core, bytes of heap, and
// bytes per second.
const (
	budgetCore   = 0.01
	budgetMemory = 32 << 20
	budgetBytes  = 16 << 10
	// budgetWrites and budgetReads are the budgets of the platform's store, in
	// calls per second.
	budgetWrites = 300
	budgetReads  = 2000
)

const day = 24 * time.Hour

// perSecond converts a number per day to one per second.
func perSecond(n float64) float64 { return n / day.Seconds() }

// backendsPerService is the mean number of backend servers of a service.
const backendsPerService = targetBackends / targetServices

// slotsPerBackend is the number of slots assumed for each backend server.
const slotsPerBackend = 4

// servingPerService is the number of serving instances that package allocator
// assigns to a service of that size, and servicesPerInstance the mean number of
// services that an instance serves.
const (
	servingPerService   = 3
	servicesPerInstance = float64(targetServices*servingPerService) / targetInstances
)
