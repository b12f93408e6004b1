package config

import configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"

// validateNext validates next, which is prev with a change applied. It checks only the changed objects where that suffices. It
// falls back to ValidateSnapshot, which checks all objects, if prev is not known to be valid, if the change removes a name that
// many objects may refer to, or if it violates a rule. The error is therefore always that of ValidateSnapshot.
func validateNext(prev, next *Snapshot, change *configv1.Change) error {
	if prev.valid.Load() && staysValid(prev, next, change) {
		next.valid.Store(true)
		return nil
	}
	return ValidateSnapshot(next)
}

// staysValid reports whether the changed objects suffice to prove that next is valid, given that prev is valid.
func staysValid(prev, next *Snapshot, change *configv1.Change) bool {
	var p problems
	refs := newReferences(next)
	changed := map[string]bool{}
	deletedTarget := false
	for _, m := range change.GetMutations() {
		key := mutationKey(m)
		before, after := prev.Object(key), next.Object(key)
		if removesReferencedName(before, after) {
			return false
		}
		changed[key.Kind] = true
		if after == nil {
			deletedTarget = deletedTarget || key.Kind == KindTarget
			continue
		}
		p.checkObject(refs, after)
		if t := after.GetTarget(); t != nil && next.addresses.get(t.GetAddress()) > 1 {
			return false
		}
		if v := after.GetPolicy(); v != nil && len(next.policies[v.GetService()]) > 1 {
			return false
		}
	}
	if deletedTarget {
		for _, o := range next.List(KindDrain) {
			p.checkObject(refs, o)
		}
	}
	if changed[KindLink] {
		p.checkUniqueLinks(next)
	}
	if changed[KindMove] {
		p.checkMoveTotals(next)
	}
	return len(p.list) == 0
}

// removesReferencedName reports whether the change of an object from before to after removes a service, a place or the region of
// a place. Objects of several kinds refer to those by name.
func removesReferencedName(before, after *configv1.Object) bool {
	if before.GetService() != nil {
		return after == nil
	}
	if place := before.GetPlace(); place != nil {
		return after == nil || after.GetPlace().GetRegion() != place.GetRegion()
	}
	return false
}
