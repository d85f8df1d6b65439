// Package fault describes what is wrong in a document that people write, such as a configuration: where
// it is wrong, and what would be valid.
package fault
