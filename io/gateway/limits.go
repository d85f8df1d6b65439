package gateway

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// defaults bound callers by what the operators do not say, and while no configuration is known.
var defaults = catalog.Limits{Header: 64 << 10, Body: 1 << 20, Idle: 2 * clock.Minute}

// Limits returns what a caller may send.
func (g *Gateway) Limits() catalog.Limits {
	view := g.ports.View()
	if view == nil || view.Config == nil {
		return defaults
	}
	limits := view.Config.Limits
	if limits.Header <= 0 {
		limits.Header = defaults.Header
	}
	if limits.Body <= 0 {
		limits.Body = defaults.Body
	}
	if limits.Idle <= 0 {
		limits.Idle = defaults.Idle
	}

	return limits
}
