package intake

import (
	"bytes"
	"strconv"
)

// maxLineKept is how many bytes of a line are kept: enough for the names and values that tell where a body ends.
const maxLineKept = 64

// phase is the part of a message to which the next byte belongs.
type phase int

const (
	// phaseHead is the head, also before its first byte.
	phaseHead phase = iota
	phaseBody
	phaseChunkSize
	phaseChunk
	phaseTrailer
	// phaseBroken follows bytes of which it is not known where their message ends. No further byte is accepted.
	phaseBroken
)

// framer follows the bytes of a connection and finds the ends of the requests on it (RFC 9112). Where net/http accepts less it is indifferent, as
// the connection ends then. Where net/http might see another end, the framer accepts nothing further.
type framer struct {
	phase phase
	// headBytes and lines are the size of the head of the present request, or of the last one between two requests. They include its trailer.
	headBytes, lines int
	// started is set once the request line has begun, and complete between two requests.
	started, complete bool
	// line holds the start of the present line, and lineBytes is its length so far.
	line      [maxLineKept]byte
	lineBytes int
	// remaining is the number of bytes that belong to the body or to the chunk with its end.
	remaining int64
	length    int64 // -1 without Content-Length
	chunked   bool
	// framing is set if the last field line belongs to the fields that tell where the body ends.
	framing bool
}

func newFramer() framer { return framer{length: -1, complete: true} }

// scan consumes data up to the end of the present request at most, and returns the number of bytes consumed.
func (f *framer) scan(data []byte) int {
	used := 0
	for used < len(data) && f.phase != phaseBroken {
		if f.complete {
			f.begin()
		}
		used += f.step(data[used:])
		if f.complete {
			break
		}
	}
	return used
}

// begin starts a request.
func (f *framer) begin() { *f = framer{length: -1} }

// step consumes bytes of one phase, at least one unless the phase ends without any.
func (f *framer) step(data []byte) int {
	if f.phase == phaseBody || f.phase == phaseChunk {
		return f.skip(data)
	}
	feed := bytes.IndexByte(data, '\n')
	end := feed + 1
	if feed < 0 {
		end = len(data)
	}
	f.addToLine(data[:end])
	if f.phase != phaseChunkSize {
		f.headBytes += end
	}
	if feed >= 0 {
		f.endLine()
	}
	return end
}

// skip consumes bytes of a body or a chunk.
func (f *framer) skip(data []byte) int {
	n := min(int64(len(data)), f.remaining)
	f.remaining -= n
	if f.remaining == 0 {
		if f.phase == phaseChunk {
			f.phase = phaseChunkSize
		} else {
			f.end()
		}
	}
	return int(n)
}

func (f *framer) addToLine(part []byte) {
	if f.lineBytes < maxLineKept {
		copy(f.line[f.lineBytes:], part)
	}
	f.lineBytes += len(part)
}

// endLine handles a line that is complete.
func (f *framer) endLine() {
	kept := f.line[:min(f.lineBytes, maxLineKept)]
	long := f.lineBytes > maxLineKept
	f.lineBytes = 0
	line := bytes.TrimSuffix(bytes.TrimSuffix(kept, []byte("\n")), []byte("\r"))
	switch f.phase {
	case phaseHead:
		f.lines++
		f.endHeadLine(line, long)
	case phaseTrailer:
		f.lines++
		if len(line) == 0 {
			f.end()
		}
	case phaseChunkSize:
		f.endChunkSize(line)
	}
}

func (f *framer) endHeadLine(line []byte, long bool) {
	switch {
	case len(line) > 0 && !f.started:
		f.started = true
	case len(line) > 0:
		f.addField(line, long)
	case f.started:
		f.endHead()
	} // an empty line before the request line is skipped
}

// addField takes note of the fields that tell where the body ends. A line that continues such a field, or one that is longer than what is kept,
// breaks the connection.
func (f *framer) addField(line []byte, long bool) {
	if line[0] == ' ' || line[0] == '\t' {
		if f.framing {
			f.phase = phaseBroken
		}
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	length := bytes.EqualFold(name, []byte("Content-Length"))
	encoding := bytes.EqualFold(name, []byte("Transfer-Encoding"))
	f.framing = length || encoding
	if !f.framing {
		return
	}
	value = bytes.Trim(value, " \t")
	ok := !long
	if length {
		ok = ok && f.setLength(value)
	} else {
		ok = ok && !f.chunked && bytes.EqualFold(value, []byte("chunked"))
		f.chunked = true
	}
	if !ok {
		f.phase = phaseBroken
	}
}

// setLength records a Content-Length and reports whether it is valid and equal to an earlier one.
func (f *framer) setLength(value []byte) bool {
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || f.length >= 0 && f.length != int64(n) {
		return false
	}
	f.length = int64(n)
	return true
}

// endHead decides how the body ends.
func (f *framer) endHead() {
	switch {
	case f.chunked && f.length >= 0:
		f.phase = phaseBroken
	case f.chunked:
		f.phase = phaseChunkSize
	case f.length > 0:
		f.phase, f.remaining = phaseBody, f.length
	default:
		f.end()
	}
}

func (f *framer) endChunkSize(line []byte) {
	const lineEnd = int64(len("\r\n"))
	text, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(text, " \t")), 16, 62)
	switch {
	case err != nil:
		f.phase = phaseBroken
	case size == 0:
		f.phase = phaseTrailer
	default:
		f.phase, f.remaining = phaseChunk, int64(size)+lineEnd
	}
}

// end ends the request.
func (f *framer) end() { f.phase, f.complete = phaseHead, true }

// inHead reports whether a request has begun whose head is not complete.
func (f *framer) inHead() bool { return f.phase == phaseHead && !f.complete }
