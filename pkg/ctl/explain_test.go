package ctl

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an explanation that lacks the cause of a refusal because it was logged by another host than the one that
// answered the caller: the dispatcher, or the host to which the request was sent.
func TestExplainJoinsHosts(t *testing.T) {
	is := is.New(t)
	first := `  1.0 h1 {"time":"2026-12-04T10:00:01Z","host":"h1","step":"request","request":"r1","took_ms":500,"sent_to":"h2","message":"refused"}
not a line of a host
{"time":"2026-12-04T10:00:01Z","host":"h1","step":"request","request":"r2","message":"answered"}
{"time":"2026-12-04T09:59:00Z","host":"h1","step":"watch","message":"long before"}
`
	second := `{"time":"2026-12-04T10:00:00.9Z","host":"h2","step":"request","request":"r1","took_ms":300,"dispatcher":"h3","message":"refused"}
{"time":"2026-12-04T09:59:58Z","host":"h3","step":"target","message":"target is down"}
{"time":"2026-12-04T09:59:58Z","host":"h4","step":"target","message":"elsewhere"}
`
	var files []string
	for name, text := range map[string]string{"a": first, "b": second} {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		files = append(files, path)
	}
	var out, errOut bytes.Buffer
	is.Equal(Run(context.Background(), append([]string{"explain", "r1"}, files...), nil, &out, &errOut), 0)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.Contains(lines[0], "target is down"))
	is.True(strings.Contains(lines[1], `"host":"h2"`))
	is.True(strings.Contains(lines[2], `"host":"h1"`))

	is.True(Run(context.Background(), append([]string{"explain", "r9"}, files...), nil, &out, &errOut) != 0)
	is.Equal(Run(context.Background(), []string{"explain", "r1"}, nil, &out, &errOut), ExitUsage)
}
