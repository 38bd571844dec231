package conn

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the largest status that HTTP has (RFC 9110, section 15).
const maxStatus = 599

// checkHead returns an error if the head of a final answer has an invalid status or field name. 101 is
// invalid, since no request asks to switch protocols.
func checkHead(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return errors.Errorf("status %q is not a valid final status", r.Status)
	}
	return checkFieldNames(r.Header)
}

// checkFieldNames returns an error if a field name isn't a token (RFC 9110, section 5.1). net/http
// accepts spaces, and then ignores a Content-Length or Transfer-Encoding with one, so that it
// misjudges where the body ends.
func checkFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("field name %q is not valid", name)
		}
	}
	return nil
}

// checkTrailer returns the body of an answer, which checks the trailer if there can be one.
func checkTrailer(r *http.Response) io.ReadCloser {
	if len(r.TransferEncoding) == 0 {
		return r.Body
	}
	return &trailerCheckedBody{ReadCloser: r.Body, answer: r}
}

// trailerCheckedBody is the body of an answer that ends with an error if its trailer has an invalid
// field name.
type trailerCheckedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (b *trailerCheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := checkFieldNames(b.answer.Trailer); invalid != nil {
		return n, invalid
	}
	return n, err
}
