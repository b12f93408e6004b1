// Command caller is a test client for the demonstration: it looks up entry hosts, sends requests and checks the responses.
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/lookup"
)

const requestTimeout = 20 * time.Second

var client = &http.Client{Timeout: requestTimeout}

func main() {
	root := &cobra.Command{Use: "caller", SilenceUsage: true}
	root.AddCommand(newWaitCommand(), newReadCommand(), newCommandCommand(), newDownloadCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// newWaitCommand returns the subcommand that waits until each URL responds with status 200.
func newWaitCommand() *cobra.Command {
	var limit time.Duration
	cmd := &cobra.Command{Use: "wait URL...", RunE: func(cmd *cobra.Command, urls []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), limit)
		defer cancel()
		for _, url := range urls {
			if err := waitFor(ctx, url); err != nil {
				return errors.Wrapf(err, "wait for %s", url)
			}
		}
		return nil
	}}
	cmd.Flags().DurationVar(&limit, "limit", 20*time.Second, "longest wait")
	return cmd
}

// waitFor polls a URL until it responds with status 200 or ctx is done.
func waitFor(ctx context.Context, url string) error {
	const interval = 50 * time.Millisecond
	for {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), err)
		case <-time.After(interval):
		}
	}
}

// lookupHosts asks a host for the entry hosts of a service and returns them in the order of preference.
func lookupHosts(host, service string) ([]lookup.Host, error) {
	resp, err := client.Get("http://" + host + lookup.Path + "?service=" + service)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var found lookup.Response
	if err := json.NewDecoder(resp.Body).Decode(&found); err != nil {
		return nil, err
	}
	if len(found.Hosts) == 0 {
		return nil, errors.Newf("lookup of service %s returned no hosts: %s", service, resp.Status)
	}
	return found.Hosts, nil
}

// response describes a response that passed the checks of sendOnce.
type response struct {
	target  string
	bytes   int64
	latency time.Duration
}

// sendWithRetry sends a request. While the response says that the request was not run and has a Retry-After header, it sends the
// request again after that time, up to maxAttempts times in total.
func sendWithRetry(method, url, id, key string) (response, error) {
	const maxAttempts = 5
	started := time.Now()
	for attempt := 1; ; attempt++ {
		got, err := sendOnce(method, url, id, key)
		var refused *refusedError
		if attempt == maxAttempts || !errors.As(err, &refused) || refused.retryAfter == 0 {
			got.latency = time.Since(started)
			return got, err
		}
		fmt.Printf("  %s: refused as not run (%s), again after %s\n", id, refused.reason, refused.retryAfter)
		time.Sleep(refused.retryAfter)
	}
}

// refusedError reports that a request was refused before any target executed it.
type refusedError struct {
	reason     string
	retryAfter time.Duration
}

// Error returns a message with the reason of the refusal.
func (e *refusedError) Error() string { return "refused as not run: " + e.reason }

// sendOnce sends a request and checks that the response is complete, belongs to the request and matches its checksum.
func sendOnce(method, url, id, key string) (response, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return response{}, err
	}
	req.Header.Set(target.HeaderRequestID, id)
	if key != "" {
		req.Header.Set(reply.HeaderKey, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	sum := sha256.New()
	n, err := io.Copy(sum, resp.Body)
	if err != nil {
		return response{}, errors.Wrap(err, "read response body")
	}
	if resp.Header.Get(reply.HeaderOutcome) == string(reply.NotRun) {
		seconds, _ := strconv.Atoi(resp.Header.Get(reply.HeaderRetryAfter))
		return response{}, &refusedError{resp.Header.Get(reply.HeaderReason), time.Duration(seconds) * time.Second}
	}
	if resp.StatusCode != http.StatusOK {
		return response{}, errors.Newf("%s: %s, outcome %s, reason %s", url, resp.Status,
			resp.Header.Get(reply.HeaderOutcome), resp.Header.Get(reply.HeaderReason))
	}
	if got := resp.Header.Get(target.HeaderRequestID); got != id {
		return response{}, errors.Newf("%s: response has request ID %q, want %q", url, got, id)
	}
	if want := resp.Trailer.Get(target.HeaderBodySHA256); want != "" && want != hex.EncodeToString(sum.Sum(nil)) {
		return response{}, errors.Newf("%s: SHA-256 sum of the response body differs from the trailer", url)
	}
	return response{target: resp.Header.Get(target.HeaderTarget), bytes: n}, nil
}

// newReadCommand returns the subcommand that sends reads to the entry hosts in turn and prints which targets served them.
func newReadCommand() *cobra.Command {
	var count int
	var avoid string
	cmd := &cobra.Command{Use: "read HOST SERVICE", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
		hosts, err := lookupHosts(args[0], args[1])
		if err != nil {
			return err
		}
		served := map[string]int{}
		var slowest, total time.Duration
		for i := range count {
			host := hosts[i%len(hosts)]
			id := "read-" + strconv.Itoa(i)
			got, err := sendWithRetry(http.MethodGet, "http://"+host.Address+"/"+args[1]+"/x?work=5ms&size=1000", id, "")
			if err != nil {
				return err
			}
			if got.target == avoid {
				return errors.Newf("target %s served a request despite --avoid", avoid)
			}
			served[got.target]++
			total += got.latency
			slowest = max(slowest, got.latency)
		}
		fmt.Printf("  %d reads answered by %v, mean %s, slowest %s\n", count, served,
			(total / time.Duration(count)).Round(time.Microsecond), slowest.Round(time.Microsecond))
		return nil
	}}
	cmd.Flags().IntVar(&count, "count", 20, "number of reads")
	cmd.Flags().StringVar(&avoid, "avoid", "", "fail if this target answers")
	return cmd
}

// newCommandCommand returns the subcommand that sends one command, a request that must run at most once, through each entry host
// with the same ticket as its idempotency key.
func newCommandCommand() *cobra.Command {
	return &cobra.Command{Use: "command HOST SERVICE", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
		hosts, err := lookupHosts(args[0], args[1])
		if err != nil {
			return err
		}
		resp, err := client.Post("http://"+hosts[0].Address+entry.TicketPath, "", nil)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		key := resp.Header.Get(reply.HeaderTicket)
		for i, host := range hosts {
			got, err := sendWithRetry(http.MethodPost, "http://"+host.Address+"/"+args[1]+"/book?work=5ms", "command-1", key)
			if err != nil {
				return err
			}
			fmt.Printf("  send %d through %s: answered by %s in %s\n", i+1, host.Name, got.target, got.latency.Round(time.Microsecond))
		}
		return nil
	}}
}

// newDownloadCommand returns the subcommand that downloads a large response and checks its size and checksum.
func newDownloadCommand() *cobra.Command {
	var size int
	cmd := &cobra.Command{Use: "download HOST SERVICE", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
		hosts, err := lookupHosts(args[0], args[1])
		if err != nil {
			return err
		}
		url := fmt.Sprintf("http://%s/%s/guide?size=%d", hosts[0].Address, args[1], size)
		got, err := sendWithRetry(http.MethodGet, url, "download-1", "")
		if err != nil {
			return err
		}
		if got.bytes != int64(size) {
			return errors.Newf("response body has %d of %d bytes", got.bytes, size)
		}
		fmt.Printf("  %d bytes from %s in %s, checksum right\n", got.bytes, got.target, got.latency.Round(time.Millisecond))
		return nil
	}}
	cmd.Flags().IntVar(&size, "size", 64<<20, "bytes")
	return cmd
}
