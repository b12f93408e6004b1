package entry

import (
	"context"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// SteerRequest holds the properties of a request by which a Steerer chooses places.
type SteerRequest struct {
	Service string
	Class   configv1.RequestClass
	Command bool
}

// Place is where a request may be sent: to targets of this failure domain, or to a host of another one.
type Place struct {
	FailureDomain string
	// Host is an entry host in another failure domain. A zero Host means the targets of this failure domain.
	Host peer.Address
	// Session is the class of the session to use; if empty, it follows from the class of the request.
	Session peer.SessionClass
	// Shifted is set if the request comes from another region because of a move or an overflow.
	Shifted bool
	// Admit, if not nil, is the admission control of the place: it deducts the request's cost from the caps on the path to the
	// place, or returns an error. A *permit.RefusedError states when a retry can succeed. It is called right before the request
	// is forwarded.
	Admit func(ctx context.Context) error
}

// Local reports whether the place is this failure domain.
func (p Place) Local() bool { return p.Host.Addr == "" && p.Host.Host == "" }

// Steerer chooses the places for requests.
type Steerer interface {
	// Places returns the places for a request in order of preference.
	Places(req SteerRequest) []Place
}

// LocalOnly is a Steerer that keeps every request in this failure domain. It serves as a baseline for comparisons.
type LocalOnly struct{}

// Places returns this failure domain as the only place.
func (LocalOnly) Places(SteerRequest) []Place { return localPlaces }

var localPlaces = []Place{{}}

var _ Steerer = LocalOnly{}
