package burdockdirect

import (
	"net/http"
	"strings"
)

// connectionHeaders are the hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// dropConnectionHeaders removes the headers that concern only one connection: the
// hop-by-hop headers, and those that the Connection header names.
func dropConnectionHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}
