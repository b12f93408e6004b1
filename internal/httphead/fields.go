package httphead

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Names of the fields that tell where a body ends.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// framing counts the fields that tell where the body ends.
type framing struct{ lengths, encodings int }

// checkFields checks the field lines of a head, with the empty line at their end. oldest is set for HTTP/1.0.
func checkFields(lines []byte, oldest bool) error {
	var f framing
	for {
		var line []byte
		line, lines = cutLine(lines)
		if len(line) == 0 {
			return f.check(oldest)
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return errors.Newf("field line %.40q: must begin with a name and a colon", line)
		}
		if !isFieldValue(value) {
			return errors.Newf("field %.40q: the value must not contain control characters", name)
		}
		if err := f.add(name, value); err != nil {
			return err
		}
	}
}

// add counts a field.
func (f *framing) add(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, contentLength):
		f.lengths++
		if text := bytes.Trim(value, " \t"); !isDigits(text) {
			return errors.Newf("field Content-Length %.40q: must be a number", text)
		}
	case bytes.EqualFold(name, transferEncoding):
		f.encodings++
	}
	return nil
}

// check returns an error if the fields contradict each other. Without a single rule for the end of the body, the bytes after the head may be taken
// for a body that the sender has not sent (RFC 9112, sections 6.1 and 6.3).
func (f *framing) check(oldest bool) error {
	switch {
	case f.lengths > 0 && f.encodings > 0:
		return errors.New("a head with Content-Length and Transfer-Encoding")
	case f.encodings > 0 && oldest:
		return errors.New("a head of HTTP/1.0 with Transfer-Encoding")
	}
	return nil
}

// isToken reports whether a field name is valid: letters, digits and some other visible characters, at least one.
func isToken[T string | []byte](name T) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// tokenBytes holds the bytes that may be part of a token (RFC 9110, section 5.6.2).
var tokenBytes = func() (allowed [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		allowed[b] = true
	}
	return allowed
}()

// isFieldValue reports whether a value has no control character but tabs.
func isFieldValue(value []byte) bool {
	const deleted = 0x7f
	for _, b := range value {
		if b < ' ' && b != '\t' || b == deleted {
			return false
		}
	}
	return true
}

func isDigits(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) {
			return false
		}
	}
	return len(text) > 0
}
