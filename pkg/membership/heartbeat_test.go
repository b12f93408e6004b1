package membership

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Guards against heartbeats that carry the record of their sender, most of a heartbeat's bytes, although the receiver has it, and against
// receivers that never get a record that they lack: a changed one, or one that they have forgotten.
func TestHeartbeatsLeaveOutAKnownRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		member := func(name string) Member {
			return Member{Host: name, Incarnation: 7, FailureDomain: "x", PeerAddress: name + ":1"}
		}
		receiver := New(Options{Self: member("x-1"), Registrar: &network{}, Caller: &network{}})
		calls := &network{to: receiver, from: peer.Identity{Host: "x-0", Incarnation: 7, FailureDomain: "x"}}
		sender := New(Options{Self: member("x-0"), Registrar: calls, Caller: calls})
		sender.records["x-1"] = &record{Member: member("x-1"), version: 1}
		sender.publish()
		sender.ctx = context.Background()
		hasRecord := func() bool {
			sender.sendHeartbeat(member("x-1").Address(), sender.records["x-1"])
			return calls.sent[len(calls.sent)-1].GetSender() != nil
		}
		is.True(hasRecord())
		is.True(!hasRecord())
		sender.SetTargetsUnreachable(true)
		is.True(hasRecord())
		is.True(receiver.records["x-0"].TargetsUnreachable)
		is.True(!hasRecord())
		delete(receiver.records, "x-0")
		is.True(!hasRecord()) // the reply to this one acknowledges nothing
		is.True(hasRecord())
		is.Equal(receiver.records["x-0"].PeerAddress, "x-0:1")
	})
}
