package conn

import "github.com/go-faster/errors"

// maxLateAnswers bounds the late answers that are skipped while looking for the answer to the
// current request.
const maxLateAnswers = 4

// AnswerTo returns the answer to a request. header names the field in which answers repeat the id
// of the request. Late answers to earlier requests
// on the connection are skipped. An answer without an id is the request's on a new connection
// only: on one that has carried an exchange it may be left over, and might say that the request
// hasn't run. A connection isn't used again after it, since the next one can't be told from it.
func (r *Response) AnswerTo(id, header, method string) (*Response, error) {
	for range maxLateAnswers {
		got := r.Header.Get(header)
		r.Close = r.Close || got == ""
		if got == id || got == "" && !r.Reused {
			return r, nil
		}
		next, err := r.ReadNext(method)
		if err != nil {
			_ = r.Body.Close()
			return nil, err
		}
		r = next
	}
	_ = r.Body.Close()
	return nil, errors.New("only answers to other requests came")
}
