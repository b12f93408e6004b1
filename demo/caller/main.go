// Command caller plays a caller for the demonstration: it looks up entry hosts, sends requests and checks each answer.
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
	root.AddCommand(waitCommand(), readCommand(), commandCommand(), downloadCommand())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

// waitCommand waits until URLs answer 200.
func waitCommand() *cobra.Command {
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

// find returns the entry hosts for a service in the order of the lookup.
func find(host, service string) ([]lookup.Host, error) {
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
		return nil, errors.Newf("lookup of %s: %s", service, resp.Status)
	}
	return found.Hosts, nil
}

// answer is a checked response.
type answer struct {
	target  string
	bytes   int64
	latency time.Duration
}

// send makes a request with an ID of its own. If it is refused as not run, it is sent again at the time that the refusal
// names, a few times.
func send(method, url, id, key string) (answer, error) {
	const tries = 5
	started := time.Now()
	for n := 1; ; n++ {
		got, err := sendOnce(method, url, id, key)
		var refused *refusedError
		if n == tries || !errors.As(err, &refused) || refused.retryAfter == 0 {
			got.latency = time.Since(started)
			return got, err
		}
		fmt.Printf("  %s: refused as not run (%s), again after %s\n", id, refused.reason, refused.retryAfter)
		time.Sleep(refused.retryAfter)
	}
}

// refusedError is a refusal of a request that did not run.
type refusedError struct {
	reason     string
	retryAfter time.Duration
}

// Error returns the reason.
func (e *refusedError) Error() string { return "refused as not run: " + e.reason }

// sendOnce makes a request and checks that the answer is whole and belongs to it.
func sendOnce(method, url, id, key string) (answer, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(target.HeaderRequestID, id)
	if key != "" {
		req.Header.Set(reply.HeaderKey, key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	sum := sha256.New()
	n, err := io.Copy(sum, resp.Body)
	if err != nil {
		return answer{}, errors.Wrap(err, "read answer")
	}
	if resp.Header.Get(reply.HeaderOutcome) == string(reply.NotRun) {
		seconds, _ := strconv.Atoi(resp.Header.Get(reply.HeaderRetryAfter))
		return answer{}, &refusedError{resp.Header.Get(reply.HeaderReason), time.Duration(seconds) * time.Second}
	}
	if resp.StatusCode != http.StatusOK {
		return answer{}, errors.Newf("%s: %s, outcome %s, reason %s", url, resp.Status,
			resp.Header.Get(reply.HeaderOutcome), resp.Header.Get(reply.HeaderReason))
	}
	if got := resp.Header.Get(target.HeaderRequestID); got != id {
		return answer{}, errors.Newf("%s: answer belongs to request %q, want %q", url, got, id)
	}
	if want := resp.Trailer.Get(target.HeaderBodySHA256); want != "" && want != hex.EncodeToString(sum.Sum(nil)) {
		return answer{}, errors.Newf("%s: the answer's checksum is wrong", url)
	}
	return answer{target: resp.Header.Get(target.HeaderTarget), bytes: n}, nil
}

func readCommand() *cobra.Command {
	var count int
	var avoid string
	cmd := &cobra.Command{Use: "read HOST SERVICE", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
		hosts, err := find(args[0], args[1])
		if err != nil {
			return err
		}
		served := map[string]int{}
		var slowest, total time.Duration
		for i := range count {
			host := hosts[i%len(hosts)]
			id := "read-" + strconv.Itoa(i)
			got, err := send(http.MethodGet, "http://"+host.Address+"/"+args[1]+"/x?work=5ms&size=1000", id, "")
			if err != nil {
				return err
			}
			if got.target == avoid {
				return errors.Newf("target %s got new work", avoid)
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

func commandCommand() *cobra.Command {
	return &cobra.Command{Use: "command HOST SERVICE", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
		hosts, err := find(args[0], args[1])
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
			got, err := send(http.MethodPost, "http://"+host.Address+"/"+args[1]+"/book?work=5ms", "command-1", key)
			if err != nil {
				return err
			}
			fmt.Printf("  send %d through %s: answered by %s in %s\n", i+1, host.Name, got.target, got.latency.Round(time.Microsecond))
		}
		return nil
	}}
}

func downloadCommand() *cobra.Command {
	var size int
	cmd := &cobra.Command{Use: "download HOST SERVICE", Args: cobra.ExactArgs(2), RunE: func(_ *cobra.Command, args []string) error {
		hosts, err := find(args[0], args[1])
		if err != nil {
			return err
		}
		url := fmt.Sprintf("http://%s/%s/guide?size=%d", hosts[0].Address, args[1], size)
		got, err := send(http.MethodGet, url, "download-1", "")
		if err != nil {
			return err
		}
		if got.bytes != int64(size) {
			return errors.Newf("got %d of %d bytes", got.bytes, size)
		}
		fmt.Printf("  %d bytes from %s in %s, checksum right\n", got.bytes, got.target, got.latency.Round(time.Millisecond))
		return nil
	}}
	cmd.Flags().IntVar(&size, "size", 64<<20, "bytes")
	return cmd
}
