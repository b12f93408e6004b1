package entry

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errNoMemory means that there is no memory for more of a body.
var errNoMemory = errors.New("no memory for the body")

// readPart reads the start of a body, of at most limit bytes, into a buffer that begins with the size first and doubles. grow is called before the
// buffer grows by n bytes and reports whether there is memory for them. The error is io.EOF if the part is the whole body, nil if there may be more,
// errNoMemory if grow has denied memory, or that of the body.
func readPart(body io.Reader, limit, first int, grow func(n int) bool) ([]byte, error) {
	size := min(first, limit)
	part := []byte{}
	for {
		if len(part) == cap(part) {
			if cap(part) == limit {
				return part, nil
			}
			if !grow(size - cap(part)) {
				return part, errNoMemory
			}
			part = append(make([]byte, 0, size), part...)
			size = min(2*size, limit)
		}
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if err != nil {
			return part, err
		}
	}
}
