// Package callerapi contains the requests and responses of the product's own caller API:
// HTTP/1.1 with JSON, and responses as a stream of frames, one a line (docs/caller-api.md). The
// names in struct tags and the reasons are part of the API; package client is generated from
// the description of the same API in schema/caller.yaml.
//
// The functions keep no state and may be called from any goroutine.
package callerapi
