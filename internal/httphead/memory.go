package httphead

const (
	// bytesPerLine is the memory for a line of a head while its message is handled: entries in the maps of the message and of its copies.
	bytesPerLine = 256
	// copiesOfBytes is how often the bytes of a head are held.
	copiesOfBytes = 2
	// freeHead is the memory for a head that each connection may use without a reservation.
	freeHead = 16 << 10
)

// Memory returns the memory in bytes to reserve for a head of the given number of bytes and lines; 0 for an ordinary one.
func Memory(size, lines int) int64 {
	return max(int64(copiesOfBytes*size+bytesPerLine*lines)-freeHead, 0)
}
