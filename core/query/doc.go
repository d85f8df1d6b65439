// Package query decides how one query is executed: which upstream gets which leg, how each answer or
// refusal is handled, and what the caller receives. It is a pure state machine: the same plan,
// policy, seed and events give the same actions.
package query
