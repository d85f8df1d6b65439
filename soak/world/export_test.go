package world

// TakePorts reserves a range of ports and returns its first port and a function that releases it.
func TakePorts(seed uint64) (first int, release func()) {
	p := reservePorts(seed)

	return p.first(), p.release
}
