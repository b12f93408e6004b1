package peer

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"github.com/matryer/is"
)

// writeRecorder records the argument of each call of Write.
type writeRecorder struct {
	net.Conn
	calls [][]byte
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.calls = append(w.calls, bytes.Clone(p))
	return len(p), nil
}

func frameHeader(frameType byte, length int) []byte {
	return binary.BigEndian.AppendUint32([]byte{0, frameType, 0, 0, 0, 0, 0, 1}, uint32(length))
}

// Guards against bytes that are lost, reordered or delayed when headers are joined with bodies, also for a body that looks
// like a header, and against frames without a body whose header is delayed.
func TestHeaderAndBodyAreOneWrite(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	record := &writeRecorder{Conn: client}
	conn := newTrackedConn(record)
	var want []byte
	bodies := [][]byte{{1}, frameHeader(0, 7), bytes.Repeat([]byte{2}, maxJoinedBody), bytes.Repeat([]byte{3}, maxJoinedBody+1)}
	for _, body := range bodies {
		for _, part := range [][]byte{frameHeader(0, len(body)), body, frameHeader(1, 9), frameHeader(0, 0)} {
			n, err := conn.Write(part)
			is.NoErr(err)
			is.Equal(n, len(part))
			want = append(want, part...)
		}
		is.True(bytes.Equal(bytes.Join(record.calls, nil), want)) // nothing is delayed after a complete frame
	}
	is.Equal(len(record.calls), 3*len(bodies)+1) // only the longest body is written separately from its header
}
