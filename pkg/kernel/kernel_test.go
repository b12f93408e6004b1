package kernel

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// recorder is a module that appends its starts and cleanups to events. Its Start fails if fail is true.
type recorder struct {
	id     string
	events *[]string
	fail   bool
}

func (r *recorder) Provision(*App) error { return nil }
func (r *recorder) Validate() error      { return nil }
func (r *recorder) Start(context.Context) error {
	*r.events = append(*r.events, "start "+r.id)
	if r.fail {
		return errors.New("port in use")
	}
	return nil
}
func (r *recorder) Cleanup(context.Context) error {
	*r.events = append(*r.events, "stop "+r.id)
	return nil
}

// appWith returns an App with the modules a, b and c, of which the one named failing does not start.
func appWith(events *[]string, failing string) *App {
	app := &App{modules: map[string]Module{}, order: []string{"a", "b", "c"}}
	for _, id := range app.order {
		app.modules[id] = &recorder{id: id, events: events, fail: id == failing}
	}
	return app
}

// Guards against modules that keep running after the start of a later module has failed.
func TestFailedStartCleansUpInReverseOrder(t *testing.T) {
	is := is.New(t)
	var events []string
	err := appWith(&events, "b").Start(context.Background())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "start module b"))
	is.Equal(events, []string{"start a", "start b", "stop c", "stop b", "stop a"})
}

// Guards against a module that is provisioned before a module that it depends on, and against cycles and missing modules that
// are not reported.
func TestSortByDependency(t *testing.T) {
	tests := []struct {
		name  string
		infos map[string]Info
		want  string
		fails bool
	}{
		{"dependency with a later name", map[string]Info{"a": {After: []string{"z"}}, "z": {}}, "z a", false},
		{"chain", map[string]Info{"a": {After: []string{"b"}}, "b": {After: []string{"c"}}, "c": {}}, "c b a", false},
		{"cycle", map[string]Info{"a": {After: []string{"b"}}, "b": {After: []string{"a"}}}, "", true},
		{"missing module", map[string]Info{"a": {After: []string{"b"}}}, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			order, err := sortByDependency(tt.infos)
			is.Equal(err != nil, tt.fails)
			is.Equal(strings.Join(order, " "), tt.want)
		})
	}
}

// Guards against an error that names only the first of several missing modules.
func TestBindReportsAllMissingModules(t *testing.T) {
	is := is.New(t)
	var events []string
	var found, missing, other *recorder
	err := Bind(appWith(&events, ""), To(&found, "a"), To(&missing, "x"), To(&other, "y"))
	is.True(found != nil)
	is.True(strings.Contains(err.Error(), `"x"`))
	is.True(strings.Contains(err.Error(), `"y"`))
}
