// Package settings reads and checks the JSON settings files of daemons and entry daemons.
package settings
