package prefix

import (
	"context"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Methods of the control calls.
const (
	MethodSegment = "prefix.segment"
	MethodDeltas  = "prefix.deltas"
)

// ErrNoSource means that no source gave the rest of the table.
var ErrNoSource = errors.New("no source for the prefix table")

// Source gives a copy of the table.
type Source interface {
	// FetchSegment returns the blocks from a position on; from is nil for the first segment.
	FetchSegment(ctx context.Context, from *prefixv1.Block, maxBytes int) (*prefixv1.Segment, error)
	// FetchDeltas returns the deltas after a version.
	FetchDeltas(ctx context.Context, after uint64) (*prefixv1.FetchDeltasResponse, error)
}

// LoadOptions controls a load.
type LoadOptions struct {
	// Peers share the load in turn, one segment each.
	Peers []Source
	// Fallback, the platform, is asked only when no peer answers. It may be nil.
	Fallback Source
	// Limiter limits received bytes; nil means no limit. Its burst must be at least SegmentBytes.
	Limiter *rate.Limiter
	// SegmentBytes bounds a segment; 0 means MaxSegmentBytes.
	SegmentBytes int
}

// Load fetches a whole table in segments. The sources may change while it runs and may have different versions: segments
// are ranges of addresses, and a delta sets blocks to absolute values, so replaying all deltas from the oldest version
// seen to the newest yields exactly the newest. The checksum of the result is verified. Errors: ErrNoSource, ErrChecksum,
// ErrInvalidBlock, and that of ctx.
func Load(ctx context.Context, o LoadOptions) (*Table, error) {
	l := &loader{LoadOptions: o, peers: append([]Source(nil), o.Peers...), builder: newBuilder()}
	if err := l.fetchSegments(ctx); err != nil {
		return nil, err
	}
	return l.replayDeltas(ctx)
}

type loader struct {
	LoadOptions
	peers         []Source
	peerIndex     int
	builder       *builder
	oldestVersion uint64
	newestVersion uint64
	// newestChecksum is that of the newest version.
	newestChecksum uint64
	lastEntries    [2]*entry
}

// fetchFromAny calls fetch with one source after another until one succeeds. A peer that fails is not asked again.
func (l *loader) fetchFromAny(ctx context.Context, fetch func(Source) error) error {
	err := ErrNoSource
	for len(l.peers) > 0 {
		l.peerIndex = (l.peerIndex + 1) % len(l.peers)
		cause := fetch(l.peers[l.peerIndex])
		if cause == nil || ctx.Err() != nil {
			return cause
		}
		err = errors.WithSecondaryError(ErrNoSource, cause)
		l.peers = append(l.peers[:l.peerIndex], l.peers[l.peerIndex+1:]...)
	}
	if l.Fallback == nil {
		return err
	}
	if cause := fetch(l.Fallback); cause != nil {
		return errors.WithSecondaryError(ErrNoSource, cause)
	}
	return nil
}

func (l *loader) fetchSegments(ctx context.Context) error {
	var from *prefixv1.Block
	for {
		var s *prefixv1.Segment
		err := l.fetchFromAny(ctx, func(source Source) (err error) {
			s, err = source.FetchSegment(ctx, from, l.SegmentBytes)
			return err
		})
		if err != nil {
			return errors.Wrap(err, "fetch segment")
		}
		if err := l.addSegment(s); err != nil {
			return err
		}
		if l.Limiter != nil {
			if err := l.Limiter.WaitN(ctx, proto.Size(s)); err != nil {
				return errors.Wrap(err, "wait for bandwidth")
			}
		}
		if s.GetNext() == nil {
			return nil
		}
		if !advances(from, s.GetNext()) {
			return errors.Wrap(ErrInvalidBlock, "next segment does not advance")
		}
		from = s.GetNext()
	}
}

// advances reports whether next is a position after from.
func advances(from, next *prefixv1.Block) bool {
	if from == nil || from.GetIpv6() != next.GetIpv6() {
		return !from.GetIpv6()
	}
	a, _, errA := entryFromBlock(from)
	b, _, errB := entryFromBlock(next)
	return errA == nil && errB == nil && a.compare(b) < 0
}

func (l *loader) addSegment(s *prefixv1.Segment) error {
	if l.oldestVersion == 0 || s.GetVersion() < l.oldestVersion {
		l.oldestVersion = s.GetVersion()
	}
	if s.GetVersion() >= l.newestVersion {
		l.newestVersion, l.newestChecksum = s.GetVersion(), s.GetChecksum()
	}
	f := familyIndex(s.GetIpv6())
	return decodeBlocks(s.GetBlocks(), s.GetIpv6(), func(e entry) error {
		if l.lastEntries[f] != nil && l.lastEntries[f].compare(e) >= 0 {
			return errors.Wrap(ErrInvalidBlock, "segments are out of order")
		}
		l.lastEntries[f] = &e
		l.builder.add(s.GetIpv6(), e)
		return nil
	})
}

// replayDeltas replays the deltas between the oldest and the newest version seen.
func (l *loader) replayDeltas(ctx context.Context) (*Table, error) {
	t := l.builder.table(l.oldestVersion)
	for t.version < l.newestVersion {
		var response *prefixv1.FetchDeltasResponse
		err := l.fetchFromAny(ctx, func(source Source) (err error) {
			response, err = source.FetchDeltas(ctx, t.version)
			if err == nil && len(response.GetDeltas()) == 0 {
				err = errors.Newf("no deltas after version %d", t.version)
			}
			return err
		})
		if err != nil {
			return nil, errors.Wrap(err, "fetch deltas")
		}
		for _, encoded := range response.GetDeltas() {
			d := &prefixv1.Delta{}
			if err := proto.Unmarshal(encoded, d); err != nil {
				return nil, errors.Wrap(err, "decode delta")
			}
			if t, err = t.replay(d); err != nil {
				return nil, err
			}
			l.newestChecksum = d.GetChecksum()
		}
	}
	if t.checksum != l.newestChecksum {
		return nil, errors.Wrapf(ErrChecksum, "version %d: have %016x, want %016x", t.version, t.checksum, l.newestChecksum)
	}
	return t, nil
}

// PeerSource fetches from another host by control calls.
type PeerSource struct {
	Caller  peer.Caller
	Address peer.Address
}

var _ Source = PeerSource{}

// FetchSegment implements Source. Errors carry the step and the peer.
func (p PeerSource) FetchSegment(ctx context.Context, from *prefixv1.Block, maxBytes int) (*prefixv1.Segment, error) {
	s := &prefixv1.Segment{}
	request := &prefixv1.FetchSegmentRequest{From: from, MaxBytes: uint32(maxBytes)}
	return s, p.Caller.Call(ctx, p.Address, MethodSegment, request, s)
}

// FetchDeltas implements Source. Errors carry the step and the peer.
func (p PeerSource) FetchDeltas(ctx context.Context, after uint64) (*prefixv1.FetchDeltasResponse, error) {
	response := &prefixv1.FetchDeltasResponse{}
	request := &prefixv1.FetchDeltasRequest{AfterVersion: after}
	return response, p.Caller.Call(ctx, p.Address, MethodDeltas, request, response)
}

// RegisterHandlers answers other hosts' requests from a store. It must be called before the node starts.
func RegisterHandlers(r peer.Registrar, s *Store) {
	r.Handle(MethodSegment, func(_ context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
		request := &prefixv1.FetchSegmentRequest{}
		if err := proto.Unmarshal(payload, request); err != nil {
			return nil, errors.Wrap(err, "decode segment request")
		}
		t := s.Table()
		if t.Version() == 0 {
			return nil, errors.New("no prefix table yet")
		}
		return t.Segment(request.GetFrom(), int(request.GetMaxBytes()))
	})
	r.Handle(MethodDeltas, func(_ context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
		request := &prefixv1.FetchDeltasRequest{}
		if err := proto.Unmarshal(payload, request); err != nil {
			return nil, errors.Wrap(err, "decode deltas request")
		}
		return s.Deltas(request.GetAfterVersion()), nil
	})
}
