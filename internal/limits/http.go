package limits

import (
	"errors"
	"io"
	"net/http"
)

const (
	// serviceBytes is what the goroutines and buffers of a request in service take.
	serviceBytes = 32 << 10

	// firstBodyBytes is allocated for a body before more of it has arrived.
	firstBodyBytes = 4 << 10
)

// Handler accounts requests to the ports of their connections before next handles them. For requests that
// the port has no memory for, it calls reject.
func Handler(next, reject http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		c.HeadReceived()
		if !c.Reserve(serviceBytes) {
			reject.ServeHTTP(w, r)
			return
		}
		if r.ContentLength == 0 {
			c.Serving()
		}
		next.ServeHTTP(w, r)
	})
}

// ReadBody reads a request's body of at most maxBytes. copies is how often the handler will hold its
// content. The error is an *http.MaxBytesError, ErrOverloaded, or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes, copies int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	c := ConnOf(r.Context())
	body := http.MaxBytesReader(w, r.Body, maxBytes)
	text := make([]byte, 0, firstBodyBytes)
	for {
		n, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case errors.Is(err, io.EOF):
			c.Serving()
			return text, nil
		case err != nil:
			return nil, err
		case len(text) == cap(text):
			if text, err = grow(c, text, r.ContentLength, copies); err != nil {
				return nil, err
			}
		}
	}
}

// grow returns text with a larger capacity: twice the present one, but not beyond the announced length.
func grow(c *Conn, text []byte, announced, copies int64) ([]byte, error) {
	size := int64(2 * cap(text))
	if announced >= int64(len(text)) {
		size = min(size, announced+1) // one more byte, to read the end
	}
	size = max(size, int64(len(text))+1)
	if !c.Reserve(bodyCost(copies*size) - bodyCost(copies*int64(cap(text)))) {
		return nil, ErrOverloaded
	}
	larger := make([]byte, len(text), size)
	copy(larger, text)
	return larger, nil
}

// bodyCost returns what must be reserved for a body that takes n bytes.
func bodyCost(n int64) int64 { return max(0, n-Allowance) }
