package check

// Names returns the names of all checks.
func Names() []string {
	var names []string
	for _, c := range checks {
		names = append(names, c.name)
	}

	return names
}
