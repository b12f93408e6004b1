package peer_test

import (
	"bufio"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// unbufferedReader reads single bytes, so that it consumes nothing after the Hello.
type unbufferedReader struct{ io.Reader }

func (r unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

// serveRogue serves a control session and replies to each call with the envelopes that answer returns.
func serveRogue(conn net.Conn, answer func(*peerv1.Envelope) []*peerv1.Envelope) {
	if protodelim.UnmarshalFrom(unbufferedReader{conn}, &peerv1.Hello{}) != nil {
		return
	}
	_, _ = protodelim.MarshalTo(conn, &peerv1.Hello{Host: "b", Incarnation: 2, Session: "control"})
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	mux, _ := yamux.Server(conn, config)
	stream, err := mux.Accept()
	if err != nil {
		return
	}
	r := bufio.NewReader(stream)
	for {
		call := &peerv1.Envelope{}
		if protodelim.UnmarshalFrom(r, call) != nil {
			return
		}
		for _, e := range answer(call) {
			_, _ = protodelim.MarshalTo(stream, e)
		}
	}
}
