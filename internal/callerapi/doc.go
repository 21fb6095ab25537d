// Package callerapi is what callers of the product's own interface send and get: HTTP/1.1
// with JSON, and answers as frames, one a line (docs/caller-api.md). The names in struct
// tags and the reasons are part of the API; package client is generated from the same API's
// description in schema/caller.yaml.
//
// The package is pure, and may be used from any goroutine.
package callerapi
