package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against log lines of the size of a head, 60 a second, from callers that choose long IDs.
func TestLongIDsAreCutInTheLog(t *testing.T) {
	is := is.New(t)
	rq := &request{id: "own"}
	is.Equal(rq.logID(), "own")
	rq.hints.ID = "caller"
	is.Equal(rq.logID(), "caller")
	rq.hints.ID = strings.Repeat("x", 16<<10)
	is.Equal(rq.logID(), strings.Repeat("x", maxLoggedID))
}
