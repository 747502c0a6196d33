package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"cleathold/internal/httpconn"
)

const maxResponseSize = 4 * maxBodySize // bytes

// defaultClient makes the calls of commands.
var defaultClient = httpconn.NewClient()

// errNoResponse is returned for a call without a response: the request may or may not have arrived.
var errNoResponse = errors.New("no answer")

// FetchView returns the state of the fleet from the agent at addr (host:port). It is the leader's view if that agent
// can reach the leader, and otherwise the agent's own.
func FetchView(ctx context.Context, addr string) (v FleetView, err error) {
	err = sendJSON(ctx, defaultClient, addr, viewPath, nil, &v, nil)
	return v, err
}

// FetchOwnView returns the own view of the agent at addr (host:port), without a call to the leader.
func FetchOwnView(ctx context.Context, addr string) (v FleetView, err error) {
	err = sendJSON(ctx, defaultClient, addr, viewPath+"?own=1", nil, &v, nil)
	return v, err
}

// SendCommand sends a command to the agent at addr (host:port) for execution. An error means that there is no usable
// response and that the outcome of the command is unknown. A rejection is not an error; the CommandResult reports it.
func SendCommand(ctx context.Context, addr string, call CommandRequest) (result CommandResult, err error) {
	err = sendJSON(ctx, defaultClient, addr, commandPath, call, &result, nil)
	return result, err
}

// call makes a call to another agent, within callTimeout.
func (a *Agent) call(ctx context.Context, addr, path string, body, result any) error {
	return a.callWithin(ctx, callTimeout, addr, path, body, result)
}

// callWithin makes a call to another agent within a timeout. The other agent does not forward it.
func (a *Agent) callWithin(ctx context.Context, timeout time.Duration, addr, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return sendJSON(ctx, a.http, addr, path, body, result, http.Header{forwardedHeader: {a.cfg.Name}})
}

// sendJSON makes a call to an agent: a GET if body is nil, otherwise a POST. It decodes the response into result,
// unless that is nil.
func sendJSON(
	ctx context.Context, client *http.Client, addr, path string, body, result any, header http.Header,
) error {
	method, reader := http.MethodGet, io.Reader(nil)
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		method, reader = http.MethodPost, bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		return err
	}
	maps.Copy(request.Header, header)
	text, err := fetch(client, request)
	if err == nil && result != nil {
		err = json.Unmarshal(text, result)
	}
	return err
}

// fetch makes a call and returns the response's body. Any status other than 2xx is an error. The error wraps
// errNoResponse if there was no complete response.
func fetch(client *http.Client, request *http.Request) ([]byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: %.300s", response.Status, bytes.TrimSpace(text))
	}
	return text, nil
}
