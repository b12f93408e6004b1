package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// shardCount is the number of shards of a copy-on-write map. A change of one entry copies one shard, which has about 60 entries
// when there are 16,000 objects.
const shardCount = 256

func shardOf(name string) uint8 { return uint8(xxhash.Sum64String(name)) }

// objectShards is a map of objects, sharded by name.
type objectShards [shardCount]map[Key]*configv1.Object

func (m *objectShards) get(k Key) *configv1.Object { return m[shardOf(k.Name)][k] }

// shardFor returns the shard of a key, which it creates if necessary. The shard may be modified only if no other snapshot shares
// it.
func (m *objectShards) shardFor(k Key) map[Key]*configv1.Object {
	shard := &m[shardOf(k.Name)]
	if *shard == nil {
		*shard = map[Key]*configv1.Object{}
	}
	return *shard
}

// countShards is a map of counts, sharded by name.
type countShards [shardCount]map[string]int

func (m *countShards) get(name string) int { return m[shardOf(name)][name] }

// shardFor is like objectShards.shardFor.
func (m *countShards) shardFor(name string) map[string]int {
	shard := &m[shardOf(name)]
	if *shard == nil {
		*shard = map[string]int{}
	}
	return *shard
}

// snapshotBuilder builds the next version of a snapshot by copy-on-write. It copies a shard, list or index of the previous
// snapshot before the first change to it.
type snapshotBuilder struct {
	next *Snapshot
	// The other fields mark the parts of next that are copies and may be modified.
	copiedObjects   [shardCount]bool
	copiedAddresses [shardCount]bool
	copiedLists     map[string]bool
	copiedTargets   map[string]bool
	copiedPolicies  bool
}

func newSnapshotBuilder(s *Snapshot, version uint64) *snapshotBuilder {
	next := &Snapshot{
		Version: version, objects: s.objects, lists: maps.Clone(s.lists), targets: s.targets, policies: s.policies,
		addresses: s.addresses,
	}
	return &snapshotBuilder{next: next, copiedLists: map[string]bool{}}
}

// set stores o under its key k, or deletes the object with key k if o is nil. It updates all indexes.
func (b *snapshotBuilder) set(k Key, o *configv1.Object) {
	old := b.next.Object(k)
	if old == nil && o == nil {
		return
	}
	objects := b.writableShard(k)
	if o == nil {
		delete(objects, k)
	} else {
		objects[k] = o
	}
	list := b.writableList(k.Kind)
	list.objects = putOrDelete(list.objects, k.Name, o != nil, o, func(o *configv1.Object) string { return KeyOf(o).Name })
	if t := old.GetTarget(); t != nil {
		b.setTarget(t, nil)
	}
	if t := o.GetTarget(); t != nil {
		b.setTarget(t, t)
	}
	if p := old.GetPolicy(); p != nil {
		b.setPolicy(p, nil)
	}
	if p := o.GetPolicy(); p != nil {
		b.setPolicy(p, p)
	}
}

// writableShard returns the shard of a key as a copy that may be modified.
func (b *snapshotBuilder) writableShard(k Key) map[Key]*configv1.Object {
	n := shardOf(k.Name)
	if !b.copiedObjects[n] {
		b.copiedObjects[n] = true
		b.next.objects[n] = maps.Clone(b.next.objects[n])
	}
	return b.next.objects.shardFor(k)
}

// writableList returns the sorted list of a kind as a copy that may be modified.
func (b *snapshotBuilder) writableList(kind string) *sortedList {
	if !b.copiedLists[kind] {
		b.copiedLists[kind] = true
		list := &sortedList{objects: slices.Clone(b.next.lists[kind].sorted())}
		list.once.Do(func() {})
		b.next.lists[kind] = list
	}
	return b.next.lists[kind]
}

// setTarget stores t in the indexes of targets and addresses, or removes its entry if t is nil. key is the target whose name,
// service, failure domain and address select the entry.
func (b *snapshotBuilder) setTarget(key, t *configv1.Target) {
	if b.copiedTargets == nil {
		b.copiedTargets = map[string]bool{}
		b.next.targets = maps.Clone(b.next.targets)
	}
	service, domain, address := key.GetService(), key.GetFailureDomain(), key.GetAddress()
	if !b.copiedTargets[service] {
		b.copiedTargets[service] = true
		b.next.targets[service] = maps.Clone(b.next.targets[service])
	}
	if b.next.targets[service] == nil {
		b.next.targets[service] = map[string][]*configv1.Target{}
	}
	// A service has few targets in one failure domain, so their list is simply copied at every change.
	list := slices.Clone(b.next.targets[service][domain])
	list = putOrDelete(list, key.GetName(), t != nil, t, (*configv1.Target).GetName)
	setOrDelete(b.next.targets[service], domain, list)
	if len(b.next.targets[service]) == 0 {
		delete(b.next.targets, service)
	}

	if n := shardOf(address); !b.copiedAddresses[n] {
		b.copiedAddresses[n] = true
		b.next.addresses[n] = maps.Clone(b.next.addresses[n])
	}
	counts := b.next.addresses.shardFor(address)
	if t != nil {
		counts[address]++
	} else if counts[address]--; counts[address] == 0 {
		delete(counts, address)
	}
}

// setPolicy stores p in the index of policies, or removes its entry if p is nil. key is the policy whose name and service select
// the entry.
func (b *snapshotBuilder) setPolicy(key, p *configv1.Policy) {
	if !b.copiedPolicies {
		b.copiedPolicies = true
		b.next.policies = maps.Clone(b.next.policies)
	}
	list := slices.Clone(b.next.policies[key.GetService()])
	setOrDelete(b.next.policies, key.GetService(), putOrDelete(list, key.GetName(), p != nil, p, (*configv1.Policy).GetName))
}

// setOrDelete stores a list under key, or deletes the key if the list is empty.
func setOrDelete[T any](m map[string][]T, key string, list []T) {
	if len(list) == 0 {
		delete(m, key)
		return
	}
	m[key] = list
}

// putOrDelete inserts or replaces the entry name of a list that is sorted by name, or deletes it if keep is false. It modifies
// the list and returns the result.
func putOrDelete[T any](list []T, name string, keep bool, v T, nameOf func(T) string) []T {
	i, found := slices.BinarySearchFunc(list, name, func(v T, name string) int { return cmp.Compare(nameOf(v), name) })
	switch {
	case found && keep:
		list[i] = v
	case found:
		list = slices.Delete(list, i, i+1)
	case keep:
		list = slices.Insert(list, i, v)
	}
	return list
}
