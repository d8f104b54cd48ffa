package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"coppercourse/internal/apierror"
)

const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20
)

// gatewayClient asks the gateway that the command line names, and other daemons.
type gatewayClient struct {
	gateway string // IP:port; set when the command line has been parsed
	key     string // of a tenant, for requests about jobs; empty for none
	http    *http.Client
}

// print asks the gateway and prints its response, indented.
func (c *gatewayClient) print(method, path string, body []byte) error {
	response, err := c.request(c.gateway, method, path, body)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if json.Indent(&out, response, "", "  ") != nil {
		out.Write(response)
	}
	fmt.Println(out.String())
	return nil
}

// fetch asks the daemon at an address and returns the body of its response. A request that
// it rejects is returned as an *apierror.Error, possibly wrapped.
func (c *gatewayClient) request(addr, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, apierror.Wrap(apierror.BadSetting, err, "request to "+addr)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, apierror.Wrap(apierror.NotReady, err, "no response from "+addr)
	}
	defer res.Body.Close()
	response, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, apierror.Wrap(apierror.NotReady, err, "response from "+addr+" cut short")
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, responseError(addr, res.Status, response)
	}
	return response, nil
}

// responseError makes an error of a response that is not 2xx.
func responseError(addr, status string, body []byte) error {
	rejection := &apierror.Error{}
	if json.Unmarshal(body, rejection) != nil || rejection.Kind == "" {
		return fmt.Errorf("%s answered %s", addr, status)
	}
	if rejection.RetryAfterSeconds > 0 {
		return fmt.Errorf("%w (retry after %d s)", rejection, rejection.RetryAfterSeconds)
	}
	return rejection
}
