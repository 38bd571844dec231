package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"buckthornpin"
	"buckthornpin/event"
	"buckthornpin/wire"
)

// maxReplyBytes limits how much of a reply the client reads.
const maxReplyBytes = 256 << 20

// Client calls the operators' interface of one process. Its exported fields are
// set before first use.
type Client struct {
	HTTP *http.Client
	// URL is the process's base URL, such as http://127.0.0.1:8084.
	URL string
	// Key is the operator's key.
	Key string
}

// Change commits a change. A change that control refuses returns a result whose kind
// gives the reason, not an error.
func (c *Client) Change(ctx context.Context, m *wire.Command) (*wire.Result, error) {
	r := &wire.Result{}
	status, err := c.post(ctx, ChangesPath, m, r)
	if err != nil {
		return nil, err
	}
	if status == http.StatusOK || r.GetKind() != wire.ResultKind_RESULT_KIND_UNSPECIFIED {
		return r, nil
	}
	return nil, &Error{Op: "change", Kind: KindInvalid, Err: errors.Errorf("status %d", status)}
}

// ChangeMembers adds or removes a control replica.
func (c *Client) ChangeMembers(ctx context.Context, m *wire.ChangeMembersRequest) (*wire.ChangeMembersReply, error) {
	r := &wire.ChangeMembersReply{}
	_, err := c.post(ctx, MembersPath, m, r)
	return r, err
}

// System returns the ledger's state as operators see it.
func (c *Client) System(ctx context.Context, history bool) (*wire.InspectReply, error) {
	path := SystemPath
	if history {
		path += "?history=true"
	}
	r := &wire.InspectReply{}
	_, err := c.call(ctx, http.MethodGet, path, nil, func(data []byte) error { return protojson.Unmarshal(data, r) })
	return r, err
}

// Status returns the status of the process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return getJSON[Status](ctx, c, StatusPath)
}

// Timeline returns the events of the process that the filter selects.
func (c *Client) Timeline(ctx context.Context, f event.Filter) ([]buckthornpin.Event, error) {
	q := url.Values{}
	q.Set("request", f.Request)
	q.Set("organisation", f.Organisation)
	q.Set("vm", f.VM)
	return getJSON[[]buckthornpin.Event](ctx, c, TimelinePath+"?"+q.Encode())
}

// getJSON requests a path and decodes the JSON of the reply.
func getJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	_, err := c.call(ctx, http.MethodGet, path, nil, func(data []byte) error { return json.Unmarshal(data, &out) })
	return out, err
}

// post sends a message as JSON and decodes the reply. It returns the HTTP status.
func (c *Client) post(ctx context.Context, path string, m, reply proto.Message) (int, error) {
	body, err := protojson.Marshal(m)
	if err != nil {
		return 0, &Error{Op: "encode", Kind: KindInvalid, Err: err}
	}
	return c.call(ctx, http.MethodPost, path, body, func(data []byte) error { return protojson.Unmarshal(data, reply) })
}

// call sends a request and decodes the reply. It returns the HTTP status, or 0 if there is
// no reply.
func (c *Client) call(ctx context.Context, method, path string, body []byte, decode func([]byte) error) (int, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, &Error{Op: method + " " + path, Kind: KindInvalid, Err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(r)
	if err != nil {
		return 0, &Error{Op: method + " " + path, Kind: KindUnavailable, Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return res.StatusCode, &Error{Op: method + " " + path, Kind: KindUnavailable, Err: err}
	}
	return res.StatusCode, decodeReply(method+" "+path, res.StatusCode, data, decode)
}

// decodeReply decodes a reply, or returns the problem that it reports.
func decodeReply(op string, status int, data []byte, decode func([]byte) error) error {
	var p problemReply
	if status != http.StatusOK && json.Unmarshal(data, &p) == nil && p.Error != "" {
		return &Error{Op: op, Kind: kindOfStatus(status), Err: errors.New(p.Error)}
	}
	if err := decode(data); err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	return nil
}

// kindOfStatus returns the kind of error that an HTTP status stands for.
func kindOfStatus(status int) Kind {
	switch {
	case status == http.StatusUnauthorized:
		return KindUnauthorised
	case status == http.StatusNotFound:
		return KindNotFound
	case status == http.StatusConflict:
		return KindRefused
	case status < http.StatusInternalServerError:
		return KindInvalid
	}
	return KindUnavailable
}
