// Package traffic runs the state machines of queries and upstreams on a few event loops, called
// lanes. Each query and each upstream belongs to one lane, the only one to access its state. Lanes
// and daemons communicate by messages.
package traffic
