package gateway

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// defaultLimits apply to limits that the configuration does not set, and while no configuration is known.
var defaultLimits = catalog.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, IdleTimeout: 2 * clock.Minute}

// Limits returns the limits on callers' requests and connections: those of the configuration, or defaults.
func (g *Gateway) Limits() catalog.Limits {
	view := g.options.View()
	if view == nil || view.Config == nil {
		return defaultLimits
	}
	limits := view.Config.Limits
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = defaultLimits.MaxHeaderBytes
	}
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = defaultLimits.MaxBodyBytes
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultLimits.IdleTimeout
	}

	return limits
}
