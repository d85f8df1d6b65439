// Package command serves the command endpoint of the stand-ins: GET /counts returns their counters, and
// POST /do executes a command, both in JSON.
package command
