package config

import configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"

// validateNext checks next, which is prev with a change. It walks all objects only if prev is not known to be valid, if
// the change takes away something that many objects may refer to, or if it breaks a rule. The error is the one of
// ValidateSnapshot.
func validateNext(prev, next *Snapshot, change *configv1.Change) error {
	if prev.valid.Load() && staysValid(prev, next, change) {
		next.valid.Store(true)
		return nil
	}
	return ValidateSnapshot(next)
}

// staysValid reports whether the changed objects show that next is valid if prev is.
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

// removesReferencedName reports whether a change of one object removes a service, a place or the region of a place, to which
// objects of several kinds refer.
func removesReferencedName(before, after *configv1.Object) bool {
	if before.GetService() != nil {
		return after == nil
	}
	if place := before.GetPlace(); place != nil {
		return after == nil || after.GetPlace().GetRegion() != place.GetRegion()
	}
	return false
}
