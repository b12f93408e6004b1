package permittest

import (
	"cmp"
	"fmt"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// Service describes a service whose configuration Objects returns.
type Service struct {
	Name    string
	Domain  string
	Targets int
	Slots   int
	// TargetPrefix starts the names of the targets; empty means the name of the service.
	TargetPrefix string
}

// Objects returns the configuration objects of a service and of its targets, which are named <prefix>-<number> from 0.
func Objects(s Service) []*configv1.Object {
	list := []*configv1.Object{{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: s.Name}}}}
	for i := range s.Targets {
		list = append(list, TargetObject(s, i, configv1.TargetState_TARGET_STATE_ACTIVE))
	}
	return list
}

// TargetObject returns the configuration object of target number i of a service.
func TargetObject(s Service, i int, state configv1.TargetState) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: fmt.Sprintf("%s-%d", cmp.Or(s.TargetPrefix, s.Name), i), Service: s.Name, FailureDomain: s.Domain,
		Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Slots: uint32(s.Slots), State: state,
	}}}
}

// Store returns a store with a snapshot of the objects, at version 1.
func Store(objects ...*configv1.Object) *config.Store {
	store := config.NewStore()
	store.Set(config.NewSnapshot(1, objects))
	return store
}
