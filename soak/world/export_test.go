package world

// TakePorts takes a range of ports and returns the first of them, and what gives the range back.
func TakePorts(seed uint64) (first int, release func()) {
	p := reservePorts(seed)

	return p.first(), p.release
}
