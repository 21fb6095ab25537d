package proxy

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"violetthread/placement"
)

// hopByHop are the headers that apply to a single connection and are not forwarded.
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

// defaultPriority is the priority that engines assume if a request has none.
const defaultPriority = 5

// sendRequest sends the request to the engine. A long body is not copied.
func (a *engineAttempt) sendRequest(now int64) error {
	if _, err := a.conn.Write(a.encodeRequest(now)); err != nil {
		return err
	}
	if body := a.forwarded.body; body.isLong() {
		return body.writeTo(a.conn)
	}
	return nil
}

// encodeRequest returns the request to the engine in wire format, without a long body. Method, target
// and body are the caller's own.
func (a *engineAttempt) encodeRequest(now int64) []byte {
	f := a.forwarded
	var b bytes.Buffer
	b.Grow(1024 + len(f.body.text()))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", f.request.Method, f.request.RequestURI, f.request.Host)
	if f.body.length > 0 || f.request.ContentLength > 0 || f.request.Method == http.MethodPost || f.request.Method == http.MethodPut {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", f.body.length)
	}
	_ = a.header(now).Write(&b)
	b.WriteString("\r\n")
	if !f.body.isLong() {
		b.Write(f.body.text())
	}
	return b.Bytes()
}

// header returns the header of the request to the engine: the caller's without hop-by-hop headers,
// with the adapter's headers for the engine.
func (a *engineAttempt) header(now int64) http.Header {
	f := a.forwarded
	h := f.request.Header.Clone()
	for _, field := range f.request.Header["Connection"] {
		for _, name := range strings.Split(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for name := range hopByHop {
		h.Del(name)
	}
	engineRequest := EngineRequest{
		EngineID:    a.choice.Engine.ID,
		TimeoutUS:   f.deadline - now,
		Salt:        a.choice.Salt,
		Source:      a.choice.Source,
		Destination: a.choice.Destination,
		Model:       f.info.Model,
		Version:     a.choice.Version,
		Priority:    f.view.table.Priority(f.tenant, f.route),
		LastEventID: f.position.lastEventID(),
	}
	if f.tenant != nil {
		engineRequest.Tenant = f.tenant.Name
	}
	if !f.server.settings.Policy.Uses(placement.RequestPriority) {
		engineRequest.Priority = defaultPriority
	}
	f.server.adapter.SetEngineHeaders(h, engineRequest)
	return h
}
