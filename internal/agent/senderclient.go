package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/internal/admin"
	"cleathold/internal/httpconn"
	"cleathold/internal/rollout"
)

// senderClient makes the calls to one sender. Each call has a timeout of callTimeout and uses a new connection. An
// admin index selects one of the sender's two admin addresses.
type senderClient struct {
	sender  Sender
	http    *http.Client
	traffic *trafficCounters
}

func newSenderClient(sender Sender, traffic *trafficCounters) *senderClient {
	return &senderClient{
		sender: sender, traffic: traffic, http: httpconn.NewClient(),
	}
}

// status returns the status of the process at an admin address.
func (c *senderClient) status(ctx context.Context, adminIndex int) (status admin.Status, err error) {
	text, err := c.call(ctx, http.MethodGet, c.sender.Reach[adminIndex], admin.StatusPath)
	if err == nil {
		err = json.Unmarshal(text, &status)
	}
	return status, err
}

// endpoints returns the endpoints that the sender has received from discovery.
func (c *senderClient) endpoints(ctx context.Context, adminIndex int) (list []rollout.Endpoint, err error) {
	text, err := c.call(ctx, http.MethodGet, c.sender.Reach[adminIndex], admin.TargetsPath)
	if err == nil {
		err = json.Unmarshal(text, &list)
	}
	return list, err
}

// checkHealth makes a health check at the address for clients, like the load balancer in front of the senders.
func (c *senderClient) checkHealth(ctx context.Context) error {
	text, err := os.ReadFile(c.sender.Config)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, http.MethodGet, gjson.GetBytes(text, "listen").String(), "/_health")
	return err
}

// take asks the sender to take a grant; path is admin.DrainPath or admin.HoldPath. The sender rejects a grant that is
// not in force.
func (c *senderClient) take(ctx context.Context, adminIndex int, path string, grant *rollout.Grant) error {
	return c.put(ctx, adminIndex, path, url.Values{
		"process": {grant.Process}, "epoch": {formatEpoch(grant.Epoch)},
		"by": {formatTime(grant.TakeBy)}, "until": {formatTime(grant.Until)},
	})
}

// renew extends the lease of a grant.
func (c *senderClient) renew(ctx context.Context, adminIndex int, epoch uint64, until time.Time) error {
	return c.put(ctx, adminIndex, admin.RenewPath, url.Values{"epoch": {formatEpoch(epoch)}, "until": {formatTime(until)}})
}

// activate ends the lease of a grant.
func (c *senderClient) activate(ctx context.Context, adminIndex int, epoch uint64) error {
	return c.put(ctx, adminIndex, admin.ActivatePath, url.Values{"epoch": {formatEpoch(epoch)}})
}

// exclude sends the sender the IDs of the excluded endpoints. The exclusions hold until the given time.
func (c *senderClient) exclude(
	ctx context.Context, adminIndex int, epoch uint64, until time.Time, endpoints []string,
) error {
	return c.put(ctx, adminIndex, admin.ExclusionsPath, url.Values{
		"epoch": {formatEpoch(epoch)}, "until": {formatTime(until)}, "id": endpoints,
	})
}

func (c *senderClient) put(ctx context.Context, adminIndex int, path string, query url.Values) error {
	_, err := c.call(ctx, http.MethodPut, c.sender.Reach[adminIndex], path+"?"+query.Encode())
	return err
}

func (c *senderClient) call(ctx context.Context, method, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	text, err := fetch(c.http, request)
	c.traffic.polls.Add(1)
	c.traffic.polledBytes.Add(int64(len(text)))
	return text, err
}

func formatEpoch(epoch uint64) string { return strconv.FormatUint(epoch, 10) }

// formatTime formats a time for the admin API, as milliseconds since the Unix epoch.
func formatTime(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }
