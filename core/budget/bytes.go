package budget

// Bytes limits the memory that several readers hold together. It is not safe for concurrent use.
type Bytes struct {
	limit int
	held  int
}

// NewBytes returns a budget of limit bytes.
func NewBytes(limit int) *Bytes { return &Bytes{limit: limit} }

// Take reserves n bytes. It reports false and reserves nothing if fewer are left.
func (b *Bytes) Take(n int) bool {
	if n > b.limit-b.held {
		return false
	}
	b.held += n

	return true
}

// Release returns n bytes that were taken.
func (b *Bytes) Release(n int) { b.held = max(0, b.held-n) }

// Held returns the number of bytes that are taken.
func (b *Bytes) Held() int { return b.held }
