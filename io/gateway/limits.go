package gateway

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// defaultLimits apply to limits that the configuration does not set, and while no configuration is known.
var defaultLimits = catalog.Limits{Header: 64 << 10, Body: 1 << 20, Idle: 2 * clock.Minute}

// Limits returns the limits on callers' requests and connections: those of the configuration, or defaults.
func (g *Gateway) Limits() catalog.Limits {
	view := g.options.View()
	if view == nil || view.Config == nil {
		return defaultLimits
	}
	limits := view.Config.Limits
	if limits.Header <= 0 {
		limits.Header = defaultLimits.Header
	}
	if limits.Body <= 0 {
		limits.Body = defaultLimits.Body
	}
	if limits.Idle <= 0 {
		limits.Idle = defaultLimits.Idle
	}

	return limits
}
