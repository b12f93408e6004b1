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
	// contextWindow is the length of the period before a request for which other log lines of its hosts are shown.
	contextWindow = 5 * time.Second
	// maxLineBytes is the maximum length of a log line. A longer line is an error.
	maxLineBytes = 1 << 20
)

// logLine is one line of a host's log, with the fields by which lines are selected and sorted. raw is the JSON object as read.
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
		Short: "Show the log lines of all hosts that concern a request",
		Long: "explain shows a request's log lines and, from 5 s before its start to its end, its hosts' lines without request ID,\n" +
			"in order of time. REQUEST is the ID given by the caller, or the id of a log line. A FILE of - is standard input.",
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
				return errors.Newf("no log line mentions request %s", args[0])
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

// readLog returns the log lines of a file, or of in if path is "-".
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

// parseLog returns the lines that contain a JSON object with a time and skips all others. It removes text before the object, such
// as a prefix added by a log collector.
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

// selectLines returns the lines about a request, and the lines without a request ID that the hosts involved logged from
// contextWindow before its start until its last line, sorted by time. The hosts involved are those that logged the request,
// its dispatchers, and the hosts to which it was sent.
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
	var selected []logLine
	for _, l := range lines {
		ofRequest := l.Request == request || l.ID == request
		ofHosts := l.Request == "" && hosts[l.Host] && l.Time.After(from.Add(-contextWindow)) && !l.Time.After(to)
		if ofRequest || ofHosts && !from.IsZero() {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return selected
}
