// Package config holds the operators' configuration: services, their versions, the upstreams behind
// them, and the availability zones of the upstreams. Values are immutable; With methods return
// changed copies.
package config
