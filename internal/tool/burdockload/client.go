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
	// maxIdle covers the calls that a run has open at a time.
	maxIdle = 4096
	endMark = "[DONE]"
	// readerBytes holds a few events of a stream.
	readerBytes = 16 << 10
	// maxProblemBytes bounds how much of an error's body is read.
	maxProblemBytes = 64 << 10
)

// client sends calls to one address.
type client struct {
	cfg     Config
	address string
	http    *http.Client
}

// newClient returns a client whose calls are each sent at most once, so that
// the counts at both ends can be compared.
func newClient(cfg Config, address string) *client {
	return &client{cfg: cfg, address: address, http: &http.Client{Transport: burdocktransport.NewOnce(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		DisableCompression:  true,
	})}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// observed is what one call showed.
type observed struct {
	ending     ending
	code       burdockapi.Code
	reason     string
	tokens     int64
	firstToken time.Duration
	whole      time.Duration
	gaps       []time.Duration
}

// send sends a call and reads its answer. Spans count from due.
func (c *client) send(ctx context.Context, cl call, due time.Time) observed {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := c.request(ctx, cl)
	if err != nil {
		return observed{ending: endingUnsent, reason: err.Error()}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return observed{ending: endingUnknown, reason: reasonOf(err)}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return problemOf(res)
	}
	if cl.kind == kindStreamed {
		return readStream(res.Body, due)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return observed{ending: endingCut, reason: reasonOf(err)}
	}
	return observed{ending: endingAnswered, whole: time.Since(due)}
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
	if cl.key != "" {
		req.Header.Set("Authorization", "Bearer "+cl.key)
	}
	if cl.class != "" {
		req.Header.Set("Burdock-Class", cl.class)
	}
	if cl.repeat != "" {
		req.Header.Set("Idempotency-Key", string(cl.repeat))
	}
	return req, nil
}

func (c *client) body(cl call) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		c.cfg.Model, cl.kind == kindStreamed, cl.tokens, cl.prompt)
}

// readStream reads a stream of tokens to its end mark.
func readStream(body io.Reader, due time.Time) observed {
	var o observed
	var last time.Time
	lines := bufio.NewReaderSize(body, readerBytes)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			o.ending, o.reason = endingCut, reasonOf(err)
			return o
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == endMark {
			o.ending = endingAnswered
			return o
		}
		if bytes.HasPrefix(data, []byte(`{"error":`)) {
			o.ending, o.reason = endingCut, "error in the stream: "+string(codeOf(data))
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

// problemOf sorts an answer that is an error.
func problemOf(res *http.Response) observed {
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxProblemBytes))
	code := codeOf(body)
	if res.Header.Get("Burdock-Not-Run") == "true" {
		return observed{ending: endingRefused, code: code}
	}
	return observed{ending: endingUnknown, reason: fmt.Sprintf("status %d %s", res.StatusCode, code)}
}

func codeOf(body []byte) burdockapi.Code {
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

// reasonOf names an error in few enough ways to be counted by.
func reasonOf(err error) string {
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
