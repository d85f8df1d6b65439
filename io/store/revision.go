package store

// generationSpan is the number of revisions that a generation has room for.
const generationSpan = 1_000_000_000_000

// NewRevision returns the revision with a number in a generation of the store. A store that is restored from a backup
// counts on from there, so that numbers are given out again; each return begins a generation. A revision of a later
// generation is above all those of earlier ones.
func NewRevision(generation, number int64) int64 { return generation*generationSpan + number }

// Generation returns the generation of a revision.
func Generation(revision int64) int64 { return revision / generationSpan }

// Number returns the number of a revision in its generation.
func Number(revision int64) int64 { return revision % generationSpan }
