// Package config holds the dynamic configuration, which operators change at run time. Changes are versioned, committed to the
// platform's table, replicated to all hosts and applied as immutable snapshots.
package config

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// Kinds of objects, named like the fields of configv1.Object.
const (
	KindService = "service"
	KindPlace   = "place"
	KindTarget  = "target"
	KindPolicy  = "policy"
	KindLink    = "link"
	KindDrain   = "drain"
	KindMove    = "move"

	KindVirtualHost   = "virtual_host"
	KindRequestLimits = "request_limits"
)

// Kinds lists all kinds of objects.
var Kinds = []string{KindService, KindPlace, KindTarget, KindPolicy, KindLink, KindDrain, KindMove, KindVirtualHost, KindRequestLimits}

// Key identifies an object by kind and name.
type Key struct {
	Kind string
	Name string
}

// KeyOf returns the key of an object, or an empty key if the object is nil or has no kind.
func KeyOf(o *configv1.Object) Key {
	switch k := o.GetKind().(type) {
	case *configv1.Object_Service:
		return Key{KindService, k.Service.GetName()}
	case *configv1.Object_Place:
		return Key{KindPlace, k.Place.GetName()}
	case *configv1.Object_Target:
		return Key{KindTarget, k.Target.GetName()}
	case *configv1.Object_Policy:
		return Key{KindPolicy, k.Policy.GetName()}
	case *configv1.Object_Link:
		return Key{KindLink, k.Link.GetName()}
	case *configv1.Object_Drain:
		return Key{KindDrain, k.Drain.GetName()}
	case *configv1.Object_Move:
		return Key{KindMove, k.Move.GetName()}
	case *configv1.Object_VirtualHost:
		return Key{KindVirtualHost, k.VirtualHost.GetName()}
	case *configv1.Object_RequestLimits:
		return Key{KindRequestLimits, k.RequestLimits.GetName()}
	}
	return Key{}
}

// Snapshot is the whole configuration at one version. It is immutable. A snapshot shares unchanged data with its predecessor
// (see With), so that a change does not copy all objects.
type Snapshot struct {
	Version uint64
	// SourceVersion is the version that an external Source gave the configuration, or 0 without one. With a Source, Version counts
	// the snapshots of this host and cannot be compared between hosts.
	SourceVersion uint64
	objects       objectShards
	// lists holds the objects of each kind, keyed by kind.
	lists map[string]*sortedList
	// targets is keyed by service and failure domain; each list is sorted by name.
	targets map[string]map[string][]*configv1.Target
	// policies is keyed by service; each list is sorted by name and has one element in a valid snapshot.
	policies map[string][]*configv1.Policy
	// addresses is the number of targets per address.
	addresses countShards
	// valid is set once validation has found no problem.
	valid atomic.Bool
	// rules and homes are built by the first call of Rule or HomeRegions.
	rules     ruleIndex
	homes     homeIndex
	rulesOnce sync.Once
}

// sortedList is a list of the objects of one kind that is sorted by name at its first use.
type sortedList struct {
	once    sync.Once
	objects []*configv1.Object
}

func (l *sortedList) sorted() []*configv1.Object {
	if l == nil {
		return nil
	}
	l.once.Do(func() { slices.SortFunc(l.objects, compareNames) })
	return l.objects
}

func compareNames(a, b *configv1.Object) int { return cmp.Compare(KeyOf(a).Name, KeyOf(b).Name) }

// NewSnapshot returns a snapshot of objects. The objects must not be modified afterwards.
func NewSnapshot(version uint64, objects []*configv1.Object) *Snapshot {
	s := &Snapshot{
		Version: version, lists: map[string]*sortedList{}, targets: map[string]map[string][]*configv1.Target{},
		policies: map[string][]*configv1.Policy{},
	}
	for _, o := range objects {
		s.objects.shardFor(KeyOf(o))[KeyOf(o)] = o
	}
	for _, shard := range s.objects {
		for k, o := range shard {
			s.addToIndexes(k, o)
		}
	}
	for _, byDomain := range s.targets {
		for _, list := range byDomain {
			slices.SortFunc(list, func(a, b *configv1.Target) int { return cmp.Compare(a.GetName(), b.GetName()) })
		}
	}
	for _, list := range s.policies {
		slices.SortFunc(list, func(a, b *configv1.Policy) int { return cmp.Compare(a.GetName(), b.GetName()) })
	}
	return s
}

// addToIndexes adds an object to all indexes except objects. NewSnapshot sorts the lists of targets and policies afterwards.
func (s *Snapshot) addToIndexes(k Key, o *configv1.Object) {
	list := s.lists[k.Kind]
	if list == nil {
		list = &sortedList{}
		s.lists[k.Kind] = list
	}
	list.objects = append(list.objects, o)
	if t := o.GetTarget(); t != nil {
		byDomain := s.targets[t.GetService()]
		if byDomain == nil {
			byDomain = map[string][]*configv1.Target{}
			s.targets[t.GetService()] = byDomain
		}
		byDomain[t.GetFailureDomain()] = append(byDomain[t.GetFailureDomain()], t)
		s.addresses.shardFor(t.GetAddress())[t.GetAddress()]++
	}
	if p := o.GetPolicy(); p != nil {
		s.policies[p.GetService()] = append(s.policies[p.GetService()], p)
	}
}

// ReportedVersion returns the version to show to operators, which is comparable between hosts.
func (s *Snapshot) ReportedVersion() uint64 { return cmp.Or(s.SourceVersion, s.Version) }

// Object returns an object, or nil.
func (s *Snapshot) Object(k Key) *configv1.Object { return s.objects.get(k) }

// List returns the objects of a kind sorted by name, or all objects sorted by kind and name if kind is empty. The list must not
// be modified.
func (s *Snapshot) List(kind string) []*configv1.Object {
	if kind != "" {
		return s.lists[kind].sorted()
	}
	var all []*configv1.Object
	for _, kind := range slices.Sorted(maps.Keys(s.lists)) {
		all = append(all, s.lists[kind].sorted()...)
	}
	return all
}

// Service returns a service, or nil.
func (s *Snapshot) Service(name string) *configv1.Service {
	return s.Object(Key{KindService, name}).GetService()
}

// Targets returns a service's targets in a failure domain, sorted by name.
func (s *Snapshot) Targets(service, failureDomain string) []*configv1.Target {
	return s.targets[service][failureDomain]
}

// Policy returns the policy of a service, or nil.
func (s *Snapshot) Policy(service string) *configv1.Policy {
	if list := s.policies[service]; len(list) > 0 {
		return list[0]
	}
	return nil
}

// Region returns the region of a failure domain, or an empty string.
func (s *Snapshot) Region(failureDomain string) string {
	return s.Object(Key{KindPlace, failureDomain}).GetPlace().GetRegion()
}

// With returns a new snapshot with change c applied to s. It returns an error unless the version of c is s.Version+1.
func (s *Snapshot) With(c *configv1.Change) (*Snapshot, error) {
	if c.GetVersion() != s.Version+1 {
		return nil, errors.Newf("change %d does not follow version %d", c.GetVersion(), s.Version)
	}
	b := newSnapshotBuilder(s, c.GetVersion())
	for _, m := range c.GetMutations() {
		if d := m.GetDelete(); d != nil {
			b.set(Key{d.GetKind(), d.GetName()}, nil)
			continue
		}
		o := proto.CloneOf(m.GetPut())
		o.Version = c.GetVersion()
		b.set(KeyOf(o), o)
	}
	return b.next, nil
}

// Store holds the snapshot in force, whose version never decreases.
type Store struct {
	mu      sync.Mutex
	current *Snapshot
	changed chan struct{}
}

// NewStore returns a store with an empty snapshot of version 0.
func NewStore() *Store {
	return &Store{current: NewSnapshot(0, nil), changed: make(chan struct{})}
}

// Current returns the snapshot in force.
func (s *Store) Current() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Changed returns a channel that is closed when a newer snapshot comes into force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Set puts a snapshot into force if it is newer than the current one and reports whether it did so.
func (s *Store) Set(next *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Version <= s.current.Version {
		return false
	}
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}
