package conn

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the largest status that HTTP has (RFC 9110, section 15).
const maxStatus = 599

// checkHead returns an error if a head, other than that of an interim answer, isn't one of an
// answer to a request: its status isn't a final one, or the name of a field is none. No request asks
// to switch protocols.
func checkHead(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return errors.Errorf("status %q is none of a final answer", r.Status)
	}
	return checkFieldNames(r.Header)
}

// checkFieldNames returns an error if a name isn't one that HTTP allows (RFC 9110, section 5.1).
// net/http lets blanks pass and doesn't find a field whose name ends with one, so that it may
// misjudge where a body ends.
func checkFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("name of field %q is none", name)
		}
	}
	return nil
}

// checkTrailer returns the body of an answer, with its trailer checked if it can have one.
func checkTrailer(r *http.Response) io.ReadCloser {
	if len(r.TransferEncoding) == 0 {
		return r.Body
	}
	return &trailerCheckedBody{ReadCloser: r.Body, answer: r}
}

// trailerCheckedBody is the body of an answer that ends with an error if the name of a field in
// its trailer is none.
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
	if broken := checkFieldNames(b.answer.Trailer); broken != nil {
		return n, broken
	}
	return n, err
}
