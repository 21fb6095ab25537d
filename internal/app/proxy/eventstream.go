package proxy

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// readEvent reads one event with the blank line that ends it, and its id. At the end of
// the answer it returns what is left together with io.EOF.
func readEvent(br *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return event, id, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
