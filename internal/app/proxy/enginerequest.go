package proxy

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// hopByHop are headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// encodeRequest is the request as the engine gets it: method, path, query and body are the
// caller's own.
func (a *engineAttempt) encodeRequest(now int64) []byte {
	p := a.forwarded
	var b bytes.Buffer
	b.Grow(1024 + len(p.body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", p.request.Method, p.request.RequestURI, p.request.Host)
	if len(p.body) > 0 || p.request.ContentLength > 0 || p.request.Method == http.MethodPost || p.request.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(p.body))
	}
	_ = a.header(now).Write(&b)
	b.WriteString("\r\n")
	b.Write(p.body)
	return b.Bytes()
}

// header is the caller's, without what concerns its connection, and with what the
// engine is told.
func (a *engineAttempt) header(now int64) http.Header {
	p := a.forwarded
	h := p.request.Header.Clone()
	for _, field := range p.request.Header["Connection"] {
		for _, name := range strings.Split(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range hopByHop {
		h.Del(name)
	}
	told := EngineRequest{
		EngineID:    a.choice.Engine.ID,
		TimeoutUS:   p.deadline - now,
		Salt:        a.choice.Salt,
		Source:      a.choice.Source,
		Destination: a.choice.Destination,
		Model:       p.info.Model,
		Version:     a.choice.Version,
		Priority:    p.view.table.Priority(p.tenant, p.route),
		LastEventID: p.lastEventID,
	}
	if p.tenant != nil {
		told.Tenant = p.tenant.Name
	}
	p.server.adapter.SetEngineHeaders(h, told)
	return h
}
