package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
)

const (
	// contextWindow is how long before a request its hosts' other lines are shown.
	contextWindow = 5 * time.Second
	// maxLineBytes is the longest line of a log.
	maxLineBytes = 1 << 20
)

// logLine is a line of a host's log, with what explain needs of it.
type logLine struct {
	Time       time.Time `json:"time"`
	Host       string    `json:"host"`
	Request    string    `json:"request"`
	ID         string    `json:"id"`
	TookMs     int64     `json:"took_ms"`
	Dispatcher string    `json:"dispatcher"`
	SentTo     string    `json:"sent_to"`
	raw        []byte
}

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST FILE...",
		Short: "Show what the logs of hosts say about a request",
		Long: "explain shows the lines about a request, which is named by its caller's ID or by the one in the line's id, in the order\n" +
			"of their times, and before them what the hosts that dealt with it logged in the 5 s before. A FILE of - is standard input.",
		Args: func(command *cobra.Command, args []string) error {
			if len(args) < 2 {
				return usagef("%s: got %d arguments, want: %s", command.CommandPath(), len(args), command.Use)
			}
			return nil
		},
		RunE: func(command *cobra.Command, args []string) error {
			var lines []logLine
			for _, path := range args[1:] {
				more, err := readLog(command.InOrStdin(), path)
				if err != nil {
					return err
				}
				lines = append(lines, more...)
			}
			chosen := selectLines(lines, args[0])
			if len(chosen) == 0 {
				return errors.Newf("no line is about request %s", args[0])
			}
			for _, l := range chosen {
				if _, err := fmt.Fprintf(command.OutOrStdout(), "%s\n", l.raw); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func readLog(in io.Reader, path string) ([]logLine, error) {
	if path == "-" {
		return parseLog(in)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, steperr.Wrap(err, "open log", path)
	}
	defer func() { _ = f.Close() }()
	lines, err := parseLog(f)
	return lines, steperr.Wrap(err, "read log", path)
}

// parseLog reads the lines that hold a JSON object, whatever stands before it. Others come from elsewhere and are left out.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		l := logLine{raw: bytes.Clone(scanner.Bytes()[start:])}
		if json.Unmarshal(l.raw, &l) == nil && !l.Time.IsZero() {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// selectLines returns the lines about a request and what its hosts logged before, in the order of their times.
func selectLines(lines []logLine, request string) []logLine {
	hosts := map[string]bool{}
	var from, to time.Time
	for _, l := range lines {
		if l.Request != request && l.ID != request {
			continue
		}
		hosts[l.Host], hosts[l.Dispatcher], hosts[l.SentTo] = true, true, true
		start := l.Time.Add(-time.Duration(l.TookMs) * time.Millisecond)
		if from.IsZero() || start.Before(from) {
			from = start
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	var chosen []logLine
	for _, l := range lines {
		about := l.Request == request || l.ID == request
		near := l.Request == "" && hosts[l.Host] && l.Time.After(from.Add(-contextWindow)) && !l.Time.After(to)
		if about || near && !from.IsZero() {
			chosen = append(chosen, l)
		}
	}
	slices.SortStableFunc(chosen, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return chosen
}
