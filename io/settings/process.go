package settings

// Process configures the daemon's Go runtime.
type Process struct {
	// GCPercent is the percentage by which the heap may grow between two garbage collections, as GOGC. A
	// daemon has a small live heap and allocates for each leg, so collections cost more than the memory
	// that they save.
	GCPercent int `json:"growth"`
}

func defaultProcess() Process { return Process{GCPercent: 400} }

func (p Process) check() []Fault {
	return nonNil(checkRange("process.growth", float64(p.GCPercent), 10, 10000))
}
