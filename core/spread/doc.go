// Package spread disseminates configuration revisions among the daemons. A daemon sends a short notice to a
// few others, and each of these requests the change from the first daemon that notified it, so that the
// change itself travels along a tree, as in Plumtree. The highest revision always wins.
package spread
