// Package memory limits the memory that several readers of a process hold together.
package memory

import (
	"sync"

	"jacinthferry/core/budget"
)

// Budget is a number of bytes that readers share. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	bytes *budget.Bytes
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget { return &Budget{bytes: budget.NewBytes(limit)} }

// Take reserves n bytes. It reports false and reserves nothing if fewer are left.
func (b *Budget) Take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.bytes.Take(n)
}

// Release returns n bytes that were taken.
func (b *Budget) Release(n int) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes.Release(n)
}

// Held returns the number of bytes that are taken.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.bytes.Held()
}
