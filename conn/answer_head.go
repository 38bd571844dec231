package conn

import (
	"net/http"

	"github.com/go-faster/errors"
)

// maxStatus is the largest status that HTTP has (RFC 9110, section 15).
const maxStatus = 599

// checkHead returns an error if a head, other than that of an interim answer, isn't one of an
// answer to a request: its status isn't a final one. No request asks to switch protocols.
func checkHead(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return errors.Errorf("status %q is none of a final answer", r.Status)
	}
	return nil
}
