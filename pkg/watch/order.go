package watch

import "time"

// maxWriteDelay is the longest time after which the platform performs a write that it has not answered. A write that is performed later than
// that after another one was made after it, whatever their order says.
const maxWriteDelay = 10 * time.Second

// Order is the position of a value among all values that were written to its row. It is the order in which writes were made; record
// versions tell the order in which they were performed.
type Order struct {
	// Start is the start of the writer's process.
	Start uint64
	// Sequence grows with each write of the same process.
	Sequence float64
}

func (o Order) after(p Order) bool {
	if o.Start != p.Start {
		return o.Start > p.Start
	}
	return o.Sequence > p.Sequence
}
