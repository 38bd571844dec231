package endpt

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

var (
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	endMark   = []byte("[DONE]")
	dash      = []byte("-")
	errSilent = errors.New("no byte came in time")
)

// Frame is one event of an engine's answer. Data is valid until the next call
// of Next.
type Frame struct {
	// From and To count the output tokens before and after this frame.
	From int
	To   int
	Data []byte
	// End marks the end of a whole answer; Data is empty then.
	End bool
}

// Stream reads an engine's answer frame by frame.
type Stream struct {
	attempt Attempt
	body    io.ReadCloser
	reader  *bufio.Reader
	cancel  context.CancelCauseFunc
	watch   watchdog
	long    []byte
	idLine  []byte
}

// Next returns the next frame. An answer without its end mark is broken.
func (s *Stream) Next() (Frame, error) {
	at := span{from: -1}
	for {
		line, err := s.line()
		if err != nil {
			return Frame{}, &Error{Op: "read", Kind: KindBroken, Err: err}
		}
		s.watch.feed()
		switch {
		case bytes.HasPrefix(line, idField):
			at, err = s.parseID(line[len(idField):])
		case bytes.HasPrefix(line, dataField):
			return s.frame(line[len(dataField):], at)
		}
		if err != nil {
			return Frame{}, err
		}
	}
}

func (s *Stream) frame(data []byte, at span) (Frame, error) {
	if bytes.Equal(data, endMark) {
		return Frame{End: true}, nil
	}
	if at.from < 0 {
		return Frame{}, &Error{Op: "read", Kind: KindMismatch, Err: errors.New("frame without attempt and offsets")}
	}
	if !bytes.Contains(data, s.idField()) {
		return Frame{}, &Error{Op: "read", Kind: KindMismatch, Err: errors.New("frame of another request")}
	}
	return Frame{From: at.from, To: at.to, Data: data}, nil
}

func (s *Stream) idField() []byte {
	if s.idLine == nil {
		s.idLine = []byte(`"id":` + strconv.Quote(s.attempt.ID))
	}
	return s.idLine
}

// span is a range of output tokens.
type span struct {
	from, to int
}

// parseID parses ATTEMPT-FROM-TO.
func (s *Stream) parseID(id []byte) (span, error) {
	rest := id
	var n [3]int
	for i := range n {
		part, after, _ := bytes.Cut(rest, dash)
		v, err := strconv.Atoi(string(part))
		if err != nil {
			return span{}, s.mismatch(id)
		}
		n[i], rest = v, after
	}
	if n[0] != s.attempt.Number || n[1] < 0 || n[2] < n[1] || len(rest) > 0 {
		return span{}, s.mismatch(id)
	}
	return span{from: n[1], to: n[2]}, nil
}

func (s *Stream) mismatch(id []byte) error {
	return &Error{Op: "read", Kind: KindMismatch, Err: errors.Errorf("frame id %q: expected %d-FROM-TO", id, s.attempt.Number)}
}

// line returns the next line without its end. A line longer than the buffer is
// put together in a buffer of its own.
func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.long = append(s.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.reader.ReadSlice('\n')
			s.long = append(s.long, line...)
			if len(s.long) > maxLineBytes {
				return nil, errors.Errorf("line is longer than %d bytes", maxLineBytes)
			}
		}
		line = s.long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// maxLineBytes bounds one line of an answer.
const maxLineBytes = 1 << 20

// Close ends the attempt's connection.
func (s *Stream) Close() {
	s.watch.stop()
	s.cancel(context.Canceled)
	if s.body != nil {
		_ = s.body.Close()
	}
}

// watchdog cancels an attempt whose connection has gone silent.
type watchdog struct {
	silence time.Duration
	cancel  context.CancelCauseFunc
	timer   *time.Timer
}

func (w *watchdog) start() {
	if w.silence > 0 {
		w.timer = time.AfterFunc(w.silence, func() { w.cancel(errSilent) })
	}
}

func (w *watchdog) feed() {
	if w.timer != nil {
		w.timer.Reset(w.silence)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// Chunk is the part of an engine's frame that the router looks into.
type Chunk struct {
	ID      string        `json:"id"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage"`
}

// ChunkChoice is one choice of a chunk.
type ChunkChoice struct {
	Delta        ChunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

// ChunkDelta is the text that a chunk adds.
type ChunkDelta struct {
	Content string `json:"content"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// DecodeChunk decodes a frame's data.
func DecodeChunk(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, &Error{Op: "decode chunk", Kind: KindMismatch, Err: err}
	}
	return c, nil
}
