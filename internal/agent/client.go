package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"
)

// call makes one call to another agent.
func (a *Agent) call(ctx context.Context, addr, path string, body, into any) error {
	span := callTimeout
	if path == commandPath {
		span = serverTimeout
	}
	return a.callUntil(ctx, addr, path, body, into, time.Now().Add(span))
}

func (a *Agent) callUntil(ctx context.Context, addr, path string, body, into any, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return sendJSON(ctx, a.http, addr, path, body, into, http.Header{forwardedHeader: {a.cfg.Name}})
}

// sendJSON makes one call to an agent: a question without a body, else an order.
func sendJSON(ctx context.Context, client *http.Client, addr, path string, body, into any, header http.Header) error {
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
	if err == nil && into != nil {
		err = json.Unmarshal(text, into)
	}
	return err
}

// fetch makes a call and reads what is answered; anything but a yes is an error.
func fetch(client *http.Client, request *http.Request) ([]byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 4*maxBodySize))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: %.300s", response.Status, bytes.TrimSpace(text))
	}
	return text, nil
}

// FetchView asks an agent how the fleet stands.
func FetchView(ctx context.Context, addr string) (v View, err error) {
	return v, sendJSON(ctx, http.DefaultClient, addr, viewPath, nil, &v, nil)
}

// FetchOwnView asks an agent what it knows by itself, without the leader.
func FetchOwnView(ctx context.Context, addr string) (v View, err error) {
	return v, sendJSON(ctx, http.DefaultClient, addr, viewPath+"?own=1", nil, &v, nil)
}

// SendCommand has an agent do what staff ask for.
func SendCommand(ctx context.Context, addr string, c Call) (r Result, err error) {
	return r, sendJSON(ctx, http.DefaultClient, addr, commandPath, c, &r, nil)
}
