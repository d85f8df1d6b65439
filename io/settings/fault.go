package settings

import "jacinthferry/core/fault"

// Fault is an invalid setting.
type Fault = fault.Fault

// nonNil returns the faults in list that are not nil.
func nonNil(list ...*Fault) []Fault {
	var faults []Fault
	for _, f := range list {
		if f != nil {
			faults = append(faults, *f)
		}
	}

	return faults
}

func checkRange(path string, value, low, high float64) *Fault {
	if value >= low && value <= high {
		return nil
	}
	f := fault.New(path, "is %g, want %g to %g", value, low, high)

	return &f
}

func newFault(path, format string, args ...any) *Fault {
	f := fault.New(path, format, args...)

	return &f
}
