package burdockload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"burdockbend.example/burdockbend/internal/serve/burdockapi"
	"burdockbend.example/burdockbend/internal/wire/burdocktransport"
)

const (
	dialTimeout = 2 * time.Second
	// maxIdleConns is large enough for the scheduled calls that a run has open at a time.
	maxIdleConns    = 4096
	streamEndMarker = "[DONE]"
	// readerBytes is large enough for a few events of a stream.
	readerBytes = 16 << 10
	// maxErrorBodyBytes limits how much of an error response is read.
	maxErrorBodyBytes = 64 << 10
)

// client sends calls to one address.
type client struct {
	cfg     Config
	address string
	http    *http.Client
}

// newClient returns a client that sends each call at most once, so that the counts
// at the caller and at the server can be compared.
func newClient(cfg Config, address string) *client {
	return &client{cfg: cfg, address: address, http: &http.Client{Transport: burdocktransport.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	})}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// outcome is how one call ended and what was measured.
type outcome struct {
	ending     ending
	code       burdockapi.Code
	reason     string
	tokens     int64
	firstToken time.Duration
	answerTime time.Duration
	gaps       []time.Duration
}

// send sends a call and reads its answer. Latencies are measured from due.
func (c *client) send(ctx context.Context, cl call, due time.Time) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := c.request(ctx, cl)
	if err != nil {
		return outcome{ending: endingUnsent, reason: err.Error()}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return outcome{ending: endingUnknown, reason: failureReason(err)}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errorOutcome(res)
	}
	if cl.kind == kindStreamed {
		return readStream(res.Body, due)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return outcome{ending: endingCut, reason: failureReason(err)}
	}
	return outcome{ending: endingAnswered, answerTime: time.Since(due)}
}

func (c *client) request(ctx context.Context, cl call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+c.cfg.PlainPath, nil)
	if cl.kind != kindPlain {
		req, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+burdockapi.PathChat, bytes.NewReader(c.body(cl)))
	}
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if cl.customerKey != "" {
		req.Header.Set("Authorization", "Bearer "+cl.customerKey)
	}
	if cl.class != "" {
		req.Header.Set("Burdock-Class", cl.class)
	}
	if cl.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", string(cl.idempotencyKey))
	}
	return req, nil
}

func (c *client) body(cl call) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		c.cfg.Model, cl.kind == kindStreamed, cl.tokens, cl.prompt)
}

// readStream reads a stream of tokens up to its end marker.
func readStream(body io.Reader, due time.Time) outcome {
	var o outcome
	var last time.Time
	lines := bufio.NewReaderSize(body, readerBytes)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			o.ending, o.reason = endingCut, failureReason(err)
			return o
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == streamEndMarker {
			o.ending = endingAnswered
			return o
		}
		if bytes.HasPrefix(data, []byte(`{"error":`)) {
			o.ending, o.reason = endingCut, "error in the stream: "+string(errorCode(data))
			return o
		}
		now := time.Now()
		if o.tokens++; o.tokens == 1 {
			o.firstToken = now.Sub(due)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
	}
}

// errorOutcome classifies an error response.
func errorOutcome(res *http.Response) outcome {
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
	code := errorCode(body)
	if res.Header.Get("Burdock-Not-Run") == "true" {
		return outcome{ending: endingRefused, code: code}
	}
	return outcome{ending: endingUnknown, reason: fmt.Sprintf("status %d %s", res.StatusCode, code)}
}

func errorCode(body []byte) burdockapi.Code {
	var problem struct {
		Error struct {
			Code burdockapi.Code `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &problem) != nil || problem.Error.Code == "" {
		return "none"
	}
	return problem.Error.Code
}

// failureReason maps an error to one of a few texts, so that failures can be counted by
// reason.
func failureReason(err error) string {
	var netErr net.Error
	var opErr *net.OpError
	switch {
	case errors.Is(err, context.Canceled):
		return "given up at the end of the run"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return "no connection"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed"
	case strings.Contains(err.Error(), "reset by peer"):
		return "connection reset"
	default:
		return "other transport error"
	}
}
