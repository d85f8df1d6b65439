// Package schema derives JSON Schemas from Go structs and checks documents against them. It reports
// each fault of a document with its path.
package schema
