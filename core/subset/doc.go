// Package subset chooses the few daemons that take requests where there are many. Each of them then
// keeps its connections to upstreams warm, and sees enough of every upstream to know how it does.
// Every daemon that knows the same members chooses the same ones.
package subset
