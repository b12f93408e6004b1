package prefix

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// fakePeer is both ends of control calls: it passes each request, encoded, to the handlers of a store.
type fakePeer struct {
	handlers map[string]peer.Handler
	calls    int
	// failAfter is the number of calls that succeed before all others fail; -1 means that all succeed.
	failAfter int
	// before runs before each call.
	before func()
}

func newFakePeer(s *Store, failAfter int) *fakePeer {
	p := &fakePeer{handlers: map[string]peer.Handler{}, failAfter: failAfter}
	RegisterHandlers(p, s)
	return p
}

func (p *fakePeer) Handle(method string, h peer.Handler) { p.handlers[method] = h }

func (p *fakePeer) Call(ctx context.Context, _ peer.Address, method string, req, resp proto.Message) error {
	if p.before != nil {
		p.before()
	}
	if p.failAfter >= 0 && p.calls >= p.failAfter {
		return errors.New("peer is down")
	}
	p.calls++
	payload, _ := proto.Marshal(req)
	answer, err := p.handlers[method](ctx, peer.Identity{}, payload)
	if err != nil {
		return err
	}
	encoded, _ := proto.Marshal(answer)
	return proto.Unmarshal(encoded, resp)
}

func randomStore(r *rand.Rand) *Store {
	list := make([]Assignment, 5000)
	for i := range list {
		list[i] = Assignment{randomPrefix(r), uint16(r.IntN(1200))}
	}
	table, _ := New(1, list)
	s := NewStore()
	s.Set(table)
	return s
}

// applyRandomChange applies the same random delta to all stores, which must have the same table.
func applyRandomChange(t *testing.T, r *rand.Rand, stores ...*Store) {
	t.Helper()
	table := stores[0].Table()
	var put []Assignment
	for range 10 {
		put = append(put, Assignment{randomPrefix(r), uint16(r.IntN(1200))})
	}
	removed := randomPrefix(r)
	delta, _, err := table.Change(put, []netip.Prefix{removed})
	for _, s := range stores {
		if err == nil {
			err = s.Apply(delta)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a replaced host that ends up with blocks of several table versions when its sources change during the load,
// that cannot load when one peer fails, or that asks the platform although peers answer.
func TestLoad(t *testing.T) {
	const segment = 2000
	for _, c := range []struct {
		name         string
		peers        []int // failAfter of each peer
		fallback     bool
		wantFallback bool
		wantErr      error
	}{
		{"from peers only", []int{-1, -1, -1}, true, false, nil},
		{"peers lost on the way", []int{2, 0, -1}, true, false, nil},
		{"all peers lost", []int{3, 2}, true, true, nil},
		{"no peers", nil, true, true, nil},
		{"no source", []int{1}, false, false, ErrNoSource},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(7, 0))
			// Every other peer lags: it keeps the first table, while the others and the platform apply further deltas.
			ahead, behind := randomStore(r), NewStore()
			behind.Set(ahead.Table())
			applyRandomChange(t, r, ahead)
			o := LoadOptions{SegmentBytes: segment}
			for i, failAfter := range c.peers {
				p := newFakePeer([]*Store{ahead, behind}[i%2], failAfter)
				p.before = func() {
					if ahead.Table().Version() < 20 {
						applyRandomChange(t, r, ahead)
					}
				}
				o.Peers = append(o.Peers, PeerSource{Caller: p})
			}
			platform := newFakePeer(ahead, -1)
			if c.fallback {
				o.Fallback = PeerSource{Caller: platform}
			}
			got, err := Load(context.Background(), o)
			is.True(errors.Is(err, c.wantErr))
			is.Equal(platform.calls > 0, c.wantFallback)
			if err == nil {
				is.Equal(got.Version(), ahead.Table().Version())
				is.Equal(got.Checksum(), ahead.Table().Checksum())
				is.Equal(got.Len(), ahead.Table().Len())
			}
		})
	}
}

// Guards against a table built from corrupted segments that is accepted, and against a load that never ends because a source
// repeats a position.
func TestLoadRefusesDamage(t *testing.T) {
	for _, c := range []struct {
		name    string
		corrupt func(*prefixv1.Segment)
		want    error
	}{
		{"changed site", func(s *prefixv1.Segment) { s.Blocks[3]++ }, ErrChecksum},
		{"cut block", func(s *prefixv1.Segment) { s.Blocks = s.Blocks[:len(s.Blocks)-1] }, ErrInvalidBlock},
		{"length", func(s *prefixv1.Segment) { s.Blocks[1] = 255 }, ErrInvalidBlock},
		{"repeated position", func(s *prefixv1.Segment) { s.Next = segmentStart(entry{}, false) }, ErrInvalidBlock},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := randomStore(rand.New(rand.NewPCG(8, 0)))
			source := corruptingSource{PeerSource{Caller: newFakePeer(store, -1)}, c.corrupt}
			_, err := Load(context.Background(), LoadOptions{Peers: []Source{source}, SegmentBytes: 3000})
			is.New(t).True(errors.Is(err, c.want))
		})
	}
}

// corruptingSource corrupts each segment of a source.
type corruptingSource struct {
	Source
	damage func(*prefixv1.Segment)
}

func (d corruptingSource) FetchSegment(ctx context.Context, from *prefixv1.Block, n int) (*prefixv1.Segment, error) {
	s, err := d.Source.FetchSegment(ctx, from, n)
	if err == nil {
		d.damage(s)
	}
	return s, err
}

// Guards against a lagging host that receives deltas with a gap, or that keeps asking for deltas that the store has dropped. The
// latter happens if the response does not set TooOld, which says that a full copy is needed.
func TestStoreKeepsRecentDeltas(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(9, 0))
	s := NewStore()
	s.recentLimit = 10_000
	s.Set(&Table{version: 1})
	var list []Assignment
	for range 50 {
		list = append(list, Assignment{randomPrefix(r), uint16(r.IntN(1200))})
	}
	for range 30 {
		delta, _, err := s.Table().Change(list, nil)
		is.NoErr(err)
		is.NoErr(s.Apply(delta))
	}
	is.True(s.Deltas(1).GetTooOld())
	is.True(s.recentBytes <= s.recentLimit)
	current := s.Table().Version()
	is.Equal(len(s.Deltas(current-3).GetDeltas()), 3)
	is.Equal(len(s.Deltas(current).GetDeltas()), 0)
	is.Equal(s.Deltas(current).GetTooOld(), false)
	is.Equal(s.Set(&Table{version: current}), false)
}
