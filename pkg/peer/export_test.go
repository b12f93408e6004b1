package peer

import "net"

// TrackedWrite writes through a trackedConn, which applies writeTimeout.
func TrackedWrite(conn net.Conn, p []byte) (int, error) { return newTrackedConn(conn).Write(p) }
