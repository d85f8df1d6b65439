// Package home decides when a daemon may send legs to an upstream whose home it is according to its
// routing table. Routing tables lag, so two daemons can consider themselves the home at the same time.
// A daemon therefore claims an upstream first: it asks every daemon that could be the holder to hand
// over, and sends nothing until the holder has confirmed that its legs ended and all others have
// answered, or until so much time has passed that no former holder can have running legs.
//
// A holder needs regular confirmation that it is still counted as a member. Without it, for example
// after the process was paused, the daemon loses the upstreams that it holds and has to claim them again.
package home
