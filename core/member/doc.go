// Package member implements failure detection and membership among the daemons. Each daemon probes a few
// others and requests indirect probes of one that does not answer. It suspects that daemon before it counts
// it as dead, and lets it refute the suspicion with a higher incarnation number, as in SWIM and Lifeguard.
// The daemons that one probes and sends news to follow from several hash rings, as in Rapid, so that the
// cost for one daemon does not grow with their number. Seats in the platform's store and its lagging list
// of instances feed the same view.
package member
