package admin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"
)

// Guards against profile paths that differ from those of net/http/pprof, which go tool pprof requests.
func TestProfilesAreAtTheirStandardPaths(t *testing.T) {
	router := httprouter.New()
	registerProfiles(router)
	for _, path := range []string{"", "cmdline", "symbol", "heap", "goroutine?debug=1", "profile?seconds=1", "trace?seconds=0.1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, profilesPath+path, nil))
			is.Equal(w.Code, http.StatusOK)
			is.True(!strings.Contains(w.Body.String(), "Unknown profile"))
			is.True(w.Body.Len() > 0)
		})
	}
}
