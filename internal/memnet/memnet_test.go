package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

func connectedPair(t *testing.T, n *Network) (client, server net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := n.Host("b", "pb").Listen("b:1")
	is.NoErr(err)
	client, err = n.Host("a", "pa").Dial(context.Background(), "b:1")
	is.NoErr(err)
	server, err = l.Accept()
	is.NoErr(err)
	return client, server
}

// Guards against data that arrives before the delay of the path has passed, and against waits that are not durably blocking:
// they would stop the virtual clock of the bubble.
func TestDelayAndDeadline(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		n := New()
		n.SetDelay("pa", "pb", 35*time.Millisecond)
		start := time.Now()
		client, server := connectedPair(t, n)
		is.Equal(time.Since(start), 70*time.Millisecond)
		start = time.Now()
		_, err := client.Write([]byte("x"))
		is.NoErr(err)
		buf := make([]byte, 8)
		_ = server.SetReadDeadline(start.Add(10 * time.Millisecond))
		_, err = server.Read(buf)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_ = server.SetReadDeadline(time.Time{})
		_, err = server.Read(buf)
		is.NoErr(err)
		is.Equal(time.Since(start), 35*time.Millisecond)
		is.NoErr(client.Close())
		_, err = server.Read(buf)
		is.Equal(err, io.EOF)
	})
}

// Guards against a one-way cut that also affects the other direction, drops data for good, or lets a close through.
func TestOneWayCutHoldsDataUntilHealed(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		n := New()
		client, server := connectedPair(t, n)
		n.Cut("pa", "b")
		_, _ = client.Write([]byte("held"))
		_, _ = server.Write([]byte("back"))
		buf := make([]byte, 8)
		size, err := client.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[:size]), "back")
		_ = server.SetReadDeadline(time.Now().Add(time.Second))
		_, err = server.Read(buf)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = n.Host("b", "pb").Dial(ctx, "b:1")
		is.NoErr(err)
		_, err = n.Host("a", "pa").Dial(ctx, "b:1")
		is.True(errors.Is(err, context.DeadlineExceeded))
		_ = client.Close()
		_ = server.SetReadDeadline(time.Time{})
		time.AfterFunc(time.Second, n.HealAll)
		size, err = server.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[:size]), "held")
	})
}

// Guards against a frozen connection that still delivers data or a close, and a kill that leaves connections or listeners usable.
func TestFreezeAndKill(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		n := New()
		client, server := connectedPair(t, n)
		n.Freeze("b")
		go func() { _, _ = client.Write(make([]byte, bufferLimit+1)) }()
		synctest.Wait()
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		_, err := client.Write([]byte("x"))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_ = server.Close()
		_ = client.SetReadDeadline(time.Now().Add(time.Second))
		_, err = client.Read(make([]byte, 8))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))

		killedHost := n.Host("b", "pb")
		newClient, err := n.Host("a", "pa").Dial(context.Background(), "b:1")
		is.NoErr(err)
		n.Kill("b")
		_, err = newClient.Read(make([]byte, 8))
		is.True(errors.Is(err, syscall.ECONNRESET))
		_, err = n.Host("a", "pa").Dial(context.Background(), "b:1")
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		_, err = killedHost.Listen("b:1")
		is.True(errors.Is(err, net.ErrClosed))
		_, err = n.Host("b", "pb").Listen("b:1")
		is.NoErr(err)
	})
}
