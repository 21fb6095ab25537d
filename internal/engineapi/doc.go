// Package engineapi contains the messages, and a client, of the product's own protocol with
// engines, the store and the platform: HTTP/1.1 with JSON (docs/engine-protocol.md). The names
// in struct tags are part of that protocol.
//
// A Client may be used from any goroutine.
package engineapi
