package testbed

// ReservePorts reserves a range of ports and returns its first port and a function that releases it.
func ReservePorts(seed uint64) (first int, release func()) {
	p := reservePorts(seed)

	return p.first(), p.release
}
