// Package clock defines the type of all instants and spans in this project.
package clock
