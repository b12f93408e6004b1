package command

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// TicketPrefix is the prefix of every ticket. Caller-supplied keys must not start with it.
const TicketPrefix = "rt1_"

const (
	// ticketFirstUsePeriod is the age up to which a ticket may be used for the first time.
	ticketFirstUsePeriod = 10 * time.Minute
	nonceBytes           = 12
	macBytes             = 16
	uint64Bytes          = 8
	ticketMinBytes       = 2*uint64Bytes + nonceBytes + macBytes
)

var errMalformedTicket = errors.New("malformed ticket")

// ticket is the decoded content of a ticket. Any host can decode a ticket; only its issuer can verify it.
type ticket struct {
	host        string
	incarnation uint64
	// issuedAt is the time of issue since the start of the issuer, on its monotonic clock.
	issuedAt time.Duration
	payload  []byte
	mac      []byte
}

// ticketIssuer issues and verifies the tickets of one incarnation. It signs them with an HMAC key that is random and never
// leaves the process, so no other process can issue or verify them.
type ticketIssuer struct {
	host        string
	incarnation uint64
	start       time.Time
	key         [sha256.Size]byte
}

func newTicketIssuer(host string, incarnation uint64) *ticketIssuer {
	t := &ticketIssuer{host: host, incarnation: incarnation, start: time.Now()}
	rand.Read(t.key[:])
	return t
}

// issue returns a new ticket: incarnation, time of issue, nonce and host name, followed by their HMAC.
func (t *ticketIssuer) issue() string {
	payload := make([]byte, 0, ticketMinBytes+len(t.host))
	payload = binary.BigEndian.AppendUint64(payload, t.incarnation)
	payload = binary.BigEndian.AppendUint64(payload, uint64(time.Since(t.start)))
	var nonce [nonceBytes]byte
	rand.Read(nonce[:])
	payload = append(payload, nonce[:]...)
	payload = append(payload, t.host...)
	return TicketPrefix + base64.RawURLEncoding.EncodeToString(append(payload, t.sum(payload)...))
}

// sum returns the truncated HMAC of a payload.
func (t *ticketIssuer) sum(payload []byte) []byte {
	mac := hmac.New(sha256.New, t.key[:])
	mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}

// verify reports whether k carries a valid HMAC of this issuer.
func (t *ticketIssuer) verify(k *ticket) bool { return hmac.Equal(k.mac, t.sum(k.payload)) }

// allowsFirstUse reports whether k, a verified ticket, is recent enough for its first use.
func (t *ticketIssuer) allowsFirstUse(k *ticket) bool {
	return time.Since(t.start)-k.issuedAt < ticketFirstUsePeriod
}

func isTicket(key string) bool { return strings.HasPrefix(key, TicketPrefix) }

// parseTicket decodes a ticket without verifying it.
func parseTicket(key string) (*ticket, error) {
	// Strict decoding and the check for line breaks, which the decoder skips, admit only one encoding per ticket: a second
	// encoding would be another key and could be executed again.
	raw, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(key, TicketPrefix))
	if err != nil || len(raw) <= ticketMinBytes || strings.ContainsAny(key, "\r\n") {
		return nil, errMalformedTicket
	}
	payload, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	return &ticket{
		host:        string(payload[2*uint64Bytes+nonceBytes:]),
		incarnation: binary.BigEndian.Uint64(payload),
		issuedAt:    time.Duration(binary.BigEndian.Uint64(payload[uint64Bytes:])),
		payload:     payload, mac: mac,
	}, nil
}
