// Package socket looks at TCP connections below what package net offers.
package socket
