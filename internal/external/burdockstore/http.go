package burdockstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/dghubble/sling"
)

const (
	callTimeout        = 3 * time.Second
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	watchTimeoutMargin = 2 * time.Second
	// maxAnswerBytes bounds a listing: all values together, with room for base64. A
	// single value is at most one megabyte.
	maxAnswerBytes = 64 << 20
)

// httpStore is the HTTP client of the store.
type httpStore struct {
	client    *http.Client
	addresses []string
	// current selects the address in use. Each failure moves on to the next address.
	current atomic.Uint32
}

// NewHTTP returns a Store that can be reached at any of the addresses, each an IP and port.
//
// A call is never sent a second time when its connection breaks: a write that took effect
// the first time would be reported as a conflict with itself.
func NewHTTP(addresses []string) Store {
	client := &http.Client{Transport: burdocktransport.New(&http.Transport{
		MaxResponseHeaderBytes: burdocktransport.MaxResponseHeader,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    2,
	})}
	return &httpStore{client: client, addresses: addresses}
}

type keyQuery struct {
	Key  string   `url:"key"`
	Prev Revision `url:"prev"`
}

type prefixQuery struct {
	Prefix string   `url:"prefix"`
	After  Revision `url:"after"`
	Wait   int64    `url:"waitMillis"`
}

type leaseQuery struct {
	Name   string `url:"name"`
	Holder string `url:"holder"`
	TTL    int64  `url:"ttlMillis"`
}

// Listing is the store's answer to a list or watch request.
type Listing struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"`
}

// LeaseGrant is the store's answer to a lease request.
type LeaseGrant struct {
	Fence burdockid.Fence `json:"fence"`
}

// WriteResult is the store's answer to a write request.
type WriteResult struct {
	Revision Revision `json:"revision"`
}

// Get implements Store.
func (s *httpStore) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := s.call(ctx, callTimeout, s.request().Get("/v1/key").QueryStruct(keyQuery{Key: key}), &e)
	return e, err
}

// List implements Store.
func (s *httpStore) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	var l Listing
	err := s.call(ctx, callTimeout, s.request().Get("/v1/list").QueryStruct(prefixQuery{Prefix: prefix}), &l)
	return l.Entries, l.Revision, err
}

// CompareAndSwap implements Store.
func (s *httpStore) CompareAndSwap(ctx context.Context, key string, old Revision, value []byte) (Revision, error) {
	req := s.request().Put("/v1/key").QueryStruct(keyQuery{Key: key, Prev: old}).Body(bytes.NewReader(value))
	var written WriteResult
	err := s.call(ctx, callTimeout, req, &written)
	return written.Revision, err
}

// Watch implements Store.
func (s *httpStore) Watch(ctx context.Context, prefix string, after Revision, wait burdockclock.Millis) ([]Entry, Revision, error) {
	req := s.request().Get("/v1/watch").QueryStruct(prefixQuery{Prefix: prefix, After: after, Wait: int64(wait)})
	var l Listing
	err := s.call(ctx, wait.Duration()+watchTimeoutMargin, req, &l)
	return l.Entries, l.Revision, err
}

// Acquire implements Store.
func (s *httpStore) Acquire(ctx context.Context, name, holder string, ttl burdockclock.Millis) (Lease, error) {
	var granted LeaseGrant
	q := leaseQuery{Name: name, Holder: holder, TTL: int64(ttl)}
	err := s.call(ctx, callTimeout, s.request().Post("/v1/lease").QueryStruct(q), &granted)
	return Lease{Name: name, Holder: holder, Fence: granted.Fence, TTL: ttl}, err
}

// Fence implements Store.
func (s *httpStore) Fence(ctx context.Context, name string) (burdockid.Fence, error) {
	var granted LeaseGrant
	err := s.call(ctx, callTimeout, s.request().Get("/v1/lease").QueryStruct(leaseQuery{Name: name}), &granted)
	return granted.Fence, err
}

// Release implements Store.
func (s *httpStore) Release(ctx context.Context, name, holder string) error {
	q := leaseQuery{Name: name, Holder: holder}
	return s.call(ctx, callTimeout, s.request().Delete("/v1/lease").QueryStruct(q), nil)
}

// request starts to build a request to the address in use.
func (s *httpStore) request() *sling.Sling {
	n := int(s.current.Load()) % len(s.addresses)
	return sling.New().Base("http://" + s.addresses[n])
}

// call sends one request and decodes its JSON answer into out.
//
// Each call has its own deadline because the store can be slow for long periods. Without
// one a caller waits forever on a connection on which nothing is ever sent.
func (s *httpStore) call(ctx context.Context, timeout time.Duration, b *sling.Sling, out any) error {
	req, err := b.Request()
	if err != nil {
		return ErrUnavailable.Wrap(err, "build request")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := s.client.Do(req.WithContext(ctx))
	if err != nil {
		s.current.Add(1)
		return ErrUnavailable.Wrap(err, "%s %s", req.Method, req.URL.Path)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return ErrUnavailable.Wrap(err, "read answer to %s %s", req.Method, req.URL.Path)
	}
	return decode(res.StatusCode, body, req, out)
}

func decode(status int, body []byte, req *http.Request, out any) error {
	switch {
	case status == http.StatusOK:
	case status == http.StatusNotFound:
		return ErrNotFound.New("%s", req.URL.Query().Get("key"))
	case status == http.StatusConflict:
		return ErrConflict.New("%s", body)
	case refuses(status):
		return ErrRefused.New("%s %s: status %d %s", req.Method, req.URL.Path, status, body)
	default:
		return ErrUnavailable.New("%s %s: status %d", req.Method, req.URL.Path, status)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return ErrUnavailable.Wrap(err, "decode answer to %s %s", req.Method, req.URL.Path)
	}
	return nil
}

// refuses reports whether status means that the call itself is invalid. A call that timed
// out or exceeded the rate limit may be retried instead.
func refuses(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}
