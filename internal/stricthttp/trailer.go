package stricthttp

import (
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// CheckTrailer makes the response's body end with a SyntaxError in place of io.EOF if a trailer field is malformed.
func CheckTrailer(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailerChecker{ReadCloser: response.Body, response: response}
	}
}

type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (c *trailerChecker) Read(buffer []byte) (int, error) {
	n, err := c.ReadCloser.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	for name := range c.response.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return n, syntaxError("invalid name of a trailer field", []byte(name))
		}
	}
	return n, io.EOF
}
