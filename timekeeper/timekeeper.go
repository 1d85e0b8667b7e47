// Package timekeeper reads clocks that the standard library does not offer.
package timekeeper
