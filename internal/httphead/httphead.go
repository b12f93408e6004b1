// Package httphead checks the heads of HTTP/1.1 responses by RFC 9110 and RFC 9112. net/http is lenient when it parses them: what it takes for
// a body may not be the sender's body.
package httphead

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// Bounds of the status of a response (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// End returns the length of the head at the start of data, with the empty line that ends it, or 0 if data has no such line after the first
// searched bytes.
func End(data []byte, searched int) int {
	for i := max(searched-len("\n\r"), 0); ; {
		feed := bytes.IndexByte(data[i:], '\n')
		if feed < 0 {
			return 0
		}
		i += feed + 1
		switch rest := data[i:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 2
		}
	}
}

// Check returns an error if the head of a response, as bytes, is not valid, or if it is one of a switch of protocols, which nobody here asks for.
func Check(head []byte) error {
	line, rest := cutLine(head)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	return checkFields(rest, bytes.HasPrefix(line, []byte("HTTP/1.0")))
}

// cutLine returns the first line of a head without its end, and the rest.
func cutLine(head []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(head, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine checks the protocol and the status. Senders may leave out the blank before an empty reason.
func checkStatusLine(line []byte) error {
	const protocol = "HTTP/1."
	after, ok := bytes.CutPrefix(line, []byte(protocol))
	if !ok || len(after) < len("1 200") || !isDigit(after[0]) || after[1] != ' ' {
		return errors.Newf("status line %.40q: must begin with HTTP/1.1 and a status", line)
	}
	status := 0
	for _, b := range after[2:5] {
		if !isDigit(b) {
			return errors.Newf("status line %.40q: the status must have three digits", line)
		}
		status = 10*status + int(b-'0')
	}
	reason := after[5:]
	if len(reason) > 0 && reason[0] != ' ' || !isFieldValue(reason) {
		return errors.Newf("status line %.40q: the status must have three digits, the reason no control characters", line)
	}
	return CheckStatus(status)
}

// CheckStatus returns an error if a status is none of HTTP, or that of a switch of protocols.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Newf("status %d: must be from %d to %d", status, minStatus, maxStatus)
	}
	if status == switchingProtocols {
		return errors.Newf("status %d: nobody has asked for another protocol", status)
	}
	return nil
}

const switchingProtocols = 101

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
