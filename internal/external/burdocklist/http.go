package burdocklist

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"
)

const callTimeout = 3 * time.Second

// httpList is the HTTP client of the membership list.
type httpList struct {
	client *http.Client
	base   *sling.Sling
}

// NewHTTP returns a List at baseURL.
func NewHTTP(baseURL string) List {
	transport := burdocktransport.New(http.DefaultTransport.(*http.Transport).Clone())
	return &httpList{client: &http.Client{Transport: transport, Timeout: callTimeout}, base: sling.New().Base(baseURL)}
}

// VMs implements List.
func (l *httpList) VMs(ctx context.Context) ([]VM, error) {
	req, err := l.base.New().Get("/v1/vms").Request()
	if err != nil {
		return nil, errorx.Decorate(err, "read membership list")
	}
	res, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, errorx.Decorate(err, "read membership list")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, errorx.ExternalError.New("read membership list: status %d", res.StatusCode)
	}
	var vms []VM
	if err := json.NewDecoder(res.Body).Decode(&vms); err != nil {
		return nil, errorx.Decorate(err, "read membership list")
	}
	return vms, nil
}
