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
	part := &m[shardOf(k.Name)]
	if *part == nil {
		*part = map[Key]*configv1.Object{}
	}
	return *part
}

// countShards is a map of counts, sharded by name.
type countShards [shardCount]map[string]int

func (m *countShards) get(name string) int { return m[shardOf(name)][name] }

// shardFor is like objectShards.shardFor.
func (m *countShards) shardFor(name string) map[string]int {
	part := &m[shardOf(name)]
	if *part == nil {
		*part = map[string]int{}
	}
	return *part
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
func (e *snapshotBuilder) set(k Key, o *configv1.Object) {
	old := e.next.Object(k)
	if old == nil && o == nil {
		return
	}
	objects := e.writableShard(k)
	if o == nil {
		delete(objects, k)
	} else {
		objects[k] = o
	}
	list := e.writableList(k.Kind)
	list.objects = putOrDelete(list.objects, k.Name, o != nil, o, func(o *configv1.Object) string { return KeyOf(o).Name })
	if t := old.GetTarget(); t != nil {
		e.setTarget(t, nil)
	}
	if t := o.GetTarget(); t != nil {
		e.setTarget(t, t)
	}
	if p := old.GetPolicy(); p != nil {
		e.setPolicy(p, nil)
	}
	if p := o.GetPolicy(); p != nil {
		e.setPolicy(p, p)
	}
}

// writableShard returns the shard of a key as a copy that may be modified.
func (e *snapshotBuilder) writableShard(k Key) map[Key]*configv1.Object {
	n := shardOf(k.Name)
	if !e.copiedObjects[n] {
		e.copiedObjects[n] = true
		e.next.objects[n] = maps.Clone(e.next.objects[n])
	}
	return e.next.objects.shardFor(k)
}

// writableList returns the sorted list of a kind as a copy that may be modified.
func (e *snapshotBuilder) writableList(kind string) *sortedList {
	if !e.copiedLists[kind] {
		e.copiedLists[kind] = true
		list := &sortedList{objects: slices.Clone(e.next.lists[kind].sorted())}
		list.once.Do(func() {})
		e.next.lists[kind] = list
	}
	return e.next.lists[kind]
}

// setTarget stores t in the indexes under the name, service, failure domain and address of the target key, or removes that entry
// if t is nil.
func (e *snapshotBuilder) setTarget(key, t *configv1.Target) {
	if e.copiedTargets == nil {
		e.copiedTargets = map[string]bool{}
		e.next.targets = maps.Clone(e.next.targets)
	}
	service, domain, address := key.GetService(), key.GetFailureDomain(), key.GetAddress()
	if !e.copiedTargets[service] {
		e.copiedTargets[service] = true
		e.next.targets[service] = maps.Clone(e.next.targets[service])
	}
	if e.next.targets[service] == nil {
		e.next.targets[service] = map[string][]*configv1.Target{}
	}
	// The targets of a service in one failure domain are few, so that every change copies their list.
	list := slices.Clone(e.next.targets[service][domain])
	list = putOrDelete(list, key.GetName(), t != nil, t, (*configv1.Target).GetName)
	setOrDelete(e.next.targets[service], domain, list)
	if len(e.next.targets[service]) == 0 {
		delete(e.next.targets, service)
	}

	if n := shardOf(address); !e.copiedAddresses[n] {
		e.copiedAddresses[n] = true
		e.next.addresses[n] = maps.Clone(e.next.addresses[n])
	}
	counts := e.next.addresses.shardFor(address)
	if t != nil {
		counts[address]++
	} else if counts[address]--; counts[address] == 0 {
		delete(counts, address)
	}
}

// setPolicy stores p in the index under the name and service of the policy key, or removes that entry if p is nil.
func (e *snapshotBuilder) setPolicy(key, p *configv1.Policy) {
	if !e.copiedPolicies {
		e.copiedPolicies = true
		e.next.policies = maps.Clone(e.next.policies)
	}
	list := slices.Clone(e.next.policies[key.GetService()])
	setOrDelete(e.next.policies, key.GetService(), putOrDelete(list, key.GetName(), p != nil, p, (*configv1.Policy).GetName))
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
