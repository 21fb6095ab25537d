// Package engineapi is how engines, the store and the platform are spoken to by the
// product's own protocol: HTTP/1.1 with JSON, as docs/engine-protocol.md describes it. The
// names in struct tags are part of that protocol.
//
// The types are plain values. A Client may be used from any goroutine.
package engineapi
