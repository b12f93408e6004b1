package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

const (
	// maxMutations is the largest number of mutations in one change.
	maxMutations = 1000
	// maxChangeBytes is the largest encoded size of one change, which is stored as one row of the platform's table.
	maxChangeBytes = 256 << 10
	// maxValueBytes is the length at which an invalid value is truncated in a Problem.
	maxValueBytes = 200
	ruleName      = "must be 1 to 63 letters, digits, dots, dashes or underscores"
)

// problems collects the violations found by a validation.
type problems struct{ list []Problem }

func (p *problems) add(field string, value any, rule string) {
	text := fmt.Sprint(value)
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes] + "..."
	}
	p.list = append(p.list, Problem{Field: field, Value: text, Rule: rule})
}

// check adds a problem unless ok is true.
func (p *problems) check(ok bool, field string, value any, rule string) {
	if !ok {
		p.add(field, value, rule)
	}
}

// err returns a *ValidationError with all problems, or nil if there are none.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &ValidationError{Problems: p.list}
}

// Validate checks a change and the configuration that results from applying it to prev. The error is a *ValidationError. If the
// structure of the change is invalid, it lists only those problems, otherwise all problems of the resulting configuration.
func Validate(prev *Snapshot, change *configv1.Change) error {
	var p problems
	p.checkStructure(change)
	if err := p.err(); err != nil {
		return err
	}
	next, err := prev.With(change)
	if err != nil {
		p.add("version", change.GetVersion(), err.Error())
		return p.err()
	}
	return validateNext(prev, next, change)
}

// ValidateSnapshot checks all objects of a snapshot, their references and the rules that concern several objects. The error is
// a *ValidationError.
func ValidateSnapshot(s *Snapshot) error {
	var p problems
	refs := newReferences(s)
	for _, o := range s.List("") {
		p.checkObject(refs, o)
	}
	p.checkUnique(s)
	if err := p.err(); err != nil {
		return err
	}
	s.valid.Store(true)
	return nil
}

// checkStructure checks the properties of a change that do not depend on other objects: the request ID, the size, and the kind
// and name of each mutated object.
func (p *problems) checkStructure(change *configv1.Change) {
	p.check(settings.ValidName(change.GetRequestId()), "request_id", change.GetRequestId(), ruleName)
	n := len(change.GetMutations())
	p.check(n >= 1 && n <= maxMutations, "mutations", n, fmt.Sprintf("must be from 1 to %d mutations", maxMutations))
	size := proto.Size(change)
	p.check(size <= maxChangeBytes, "size", size, fmt.Sprintf("must be at most %d bytes", maxChangeBytes))
	seen := map[Key]bool{}
	for i, m := range change.GetMutations() {
		field := fmt.Sprintf("mutations[%d]", i)
		key := mutationKey(m)
		p.check(knownKind(key.Kind), field+".kind", key.Kind, fmt.Sprintf("must be one of %v", Kinds))
		p.check(settings.ValidName(key.Name), field+".name", key.Name, ruleName)
		p.check(!seen[key], field, key.Kind+" "+key.Name, "must appear once in a change")
		seen[key] = true
	}
}

// mutationKey returns the key of the object that a mutation changes, or an empty key if it has no action.
func mutationKey(m *configv1.Mutation) Key {
	if d := m.GetDelete(); d != nil {
		return Key{d.GetKind(), d.GetName()}
	}
	return KeyOf(m.GetPut())
}

func knownKind(kind string) bool {
	for _, k := range Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

// checkBaseVersions returns a *VersionConflict for the first mutation whose base version differs from the object's version in s.
// Base version 0 stands for an object that does not exist, which cannot be deleted.
func checkBaseVersions(s *Snapshot, mutations []*configv1.Mutation) error {
	for _, m := range mutations {
		key := mutationKey(m)
		inForce := s.Object(key).GetVersion()
		if m.GetBaseVersion() != inForce || m.GetDelete() != nil && inForce == 0 {
			return &VersionConflict{Key: key, Base: m.GetBaseVersion(), InForce: inForce}
		}
	}
	return nil
}
