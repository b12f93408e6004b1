package prefix

import (
	"context"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Control-call methods by which a host fetches the table from another host.
const (
	MethodSegment = "prefix.segment"
	MethodDeltas  = "prefix.deltas"
)

// ErrNoSource means that every peer and the fallback failed before the table was complete.
var ErrNoSource = errors.New("no source for the prefix table")

// Source serves a copy of the prefix table.
type Source interface {
	// FetchSegment returns the blocks from position from on, encoded in at most maxBytes bytes. from is nil for the first
	// segment.
	FetchSegment(ctx context.Context, from *prefixv1.Block, maxBytes int) (*prefixv1.Segment, error)
	// FetchDeltas returns deltas that lead from version after to newer versions, oldest first.
	FetchDeltas(ctx context.Context, after uint64) (*prefixv1.FetchDeltasResponse, error)
}

// LoadOptions configures Load.
type LoadOptions struct {
	// Peers are asked in round-robin order, one segment each.
	Peers []Source
	// Fallback is the platform. It is asked only after every peer has failed. It may be nil.
	Fallback Source
	// Limiter limits the received bytes; nil means no limit. Its burst must be at least SegmentBytes.
	Limiter *rate.Limiter
	// SegmentBytes is the maximum size of a segment in bytes; 0 means MaxSegmentBytes.
	SegmentBytes int
}

// Load fetches a complete table in segments. The segments may come from different versions of the table, because sources lag
// and apply deltas meanwhile. A segment is a range of addresses, and a delta sets blocks to absolute values; replaying
// all deltas from the oldest to the newest version received therefore yields exactly the newest version. The checksum of
// the result is verified. Errors: ErrNoSource, ErrChecksum, ErrBaseVersion, ErrTooLarge, ErrInvalidBlock, and that of ctx.
func Load(ctx context.Context, o LoadOptions) (*Table, error) {
	l := &loader{LoadOptions: o, peers: append([]Source(nil), o.Peers...), builder: newBuilder()}
	if err := l.fetchSegments(ctx); err != nil {
		return nil, err
	}
	return l.replayDeltas(ctx)
}

// loader is the state of one call of Load.
type loader struct {
	LoadOptions
	// peers are those that have not failed; peerIndex is the one asked last.
	peers         []Source
	peerIndex     int
	builder       *builder
	oldestVersion uint64
	newestVersion uint64
	// newestChecksum is the table checksum that belongs to newestVersion.
	newestChecksum uint64
	// lastEntries holds the last entry added of each address family, to check that entries arrive in ascending order.
	lastEntries [2]*entry
}

// fetchFromAny calls fetch with the peers in round-robin order, then with the fallback, until a call succeeds. A peer that
// fails is removed for the rest of the load.
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

// fetchSegments fetches all segments, IPv4 before IPv6, and adds their blocks to the builder.
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
				return errors.Wrap(err, "wait for the bandwidth limiter")
			}
		}
		if s.GetNext() == nil {
			return nil
		}
		if !advances(from, s.GetNext()) {
			return errors.Wrap(ErrInvalidBlock, "position of the next segment is not after that of the last one")
		}
		from = s.GetNext()
	}
}

// advances reports whether position next is after position from; all IPv4 positions are before the IPv6 ones. It guards
// against a source that repeats a position, with which the load would never end.
func advances(from, next *prefixv1.Block) bool {
	if from == nil || from.GetIpv6() != next.GetIpv6() {
		return !from.GetIpv6()
	}
	a, _, errA := entryFromBlock(from)
	b, _, errB := entryFromBlock(next)
	return errA == nil && errB == nil && a.compare(b) < 0
}

// addSegment adds the blocks of a segment to the builder. Errors: ErrInvalidBlock.
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
			return errors.Wrap(ErrInvalidBlock, "blocks of the segments are not in ascending order")
		}
		l.lastEntries[f] = &e
		l.builder.add(s.GetIpv6(), e)
		return nil
	})
}

// replayDeltas builds the table at the oldest version of the segments, applies the deltas up to the newest version, and
// verifies the checksum.
func (l *loader) replayDeltas(ctx context.Context) (*Table, error) {
	t := l.builder.table(l.oldestVersion)
	for t.version < l.newestVersion {
		var response *prefixv1.FetchDeltasResponse
		err := l.fetchFromAny(ctx, func(source Source) (err error) {
			response, err = source.FetchDeltas(ctx, t.version)
			if err == nil && len(response.GetDeltas()) == 0 {
				err = errors.Newf("source has no deltas after table version %d", t.version)
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
		return nil, errors.Wrapf(ErrChecksum, "table version %d has checksum %016x, expected %016x",
			t.version, t.checksum, l.newestChecksum)
	}
	return t, nil
}

// PeerSource is a Source that fetches from another host by control calls.
type PeerSource struct {
	Caller  peer.Caller
	Address peer.Address
}

var _ Source = PeerSource{}

// FetchSegment implements Source. Errors are those of Caller and name the step and the peer.
func (p PeerSource) FetchSegment(ctx context.Context, from *prefixv1.Block, maxBytes int) (*prefixv1.Segment, error) {
	s := &prefixv1.Segment{}
	request := &prefixv1.FetchSegmentRequest{From: from, MaxBytes: uint32(maxBytes)}
	return s, p.Caller.Call(ctx, p.Address, MethodSegment, request, s)
}

// FetchDeltas implements Source. Errors are those of Caller and name the step and the peer.
func (p PeerSource) FetchDeltas(ctx context.Context, after uint64) (*prefixv1.FetchDeltasResponse, error) {
	response := &prefixv1.FetchDeltasResponse{}
	request := &prefixv1.FetchDeltasRequest{AfterVersion: after}
	return response, p.Caller.Call(ctx, p.Address, MethodDeltas, request, response)
}

// RegisterHandlers registers the control-call handlers that serve the table of s to other hosts. It must be called before the
// node starts.
func RegisterHandlers(r peer.Registrar, s *Store) {
	r.Handle(MethodSegment, func(_ context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
		request := &prefixv1.FetchSegmentRequest{}
		if err := proto.Unmarshal(payload, request); err != nil {
			return nil, errors.Wrap(err, "decode segment request")
		}
		t := s.Table()
		if t.Version() == 0 {
			return nil, errors.New("no prefix table is loaded on this host yet")
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
