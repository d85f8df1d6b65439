// Package reason names why the system refused, retried, hedged or gave up on work, and whether the work
// was run. Each name is also a label of metrics and a field of log lines.
package reason
