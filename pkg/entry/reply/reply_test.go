package reply

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against a new reason that is missing from Reasons, so that the metrics count its refusals as "other".
func TestReasonsAreComplete(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "reply.go", nil, 0)
	is.NoErr(err)
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := v.Type.(*ast.Ident); ok && typ.Name == "Reason" {
			text, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			is.NoErr(err)
			is.True(slices.Contains(Reasons(), Reason(text))) // each constant is listed
			found++
		}
		return true
	})
	is.Equal(found, len(Reasons()))
}
