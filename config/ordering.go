package config

import (
	"fmt"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Ordering says how engines of a service are ordered from the platform.
type Ordering struct {
	Min, Max         int           // bounds of the engines of both kinds in one availability zone
	BootTime         time.Duration // from an order until the engine serves
	ReclaimablePrice float64       // of a reclaimable engine, relative to an on-demand one of the zone
	ZonePrices       map[units.PlaceName]float64
}

// Check returns an error if the bounds are not possible.
func (o *Ordering) Check() error {
	if o.Min < 0 || o.Max < o.Min || o.Max < 1 || o.BootTime < 0 || o.ReclaimablePrice < 0 {
		return fmt.Errorf("engine order bounds are not possible: min %d, max %d, start %v, price %v",
			o.Min, o.Max, o.BootTime, o.ReclaimablePrice)
	}
	return nil
}

// Price returns the price of an on-demand engine in the zone, 1 if none is stated.
func (o *Ordering) Price(place units.PlaceName) float64 {
	if price, ok := o.ZonePrices[place]; ok && price > 0 {
		return price
	}
	return 1
}
