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
	idPrefix          = []byte("id: ")
	dataPrefix        = []byte("data: ")
	endMark           = []byte("[DONE]")
	dash              = []byte("-")
	errSilenceTimeout = errors.New("no byte came in time")
)

// Frame is one event of a model engine's answer. Data is valid until the next call
// of Stream.Next.
type Frame struct {
	// StartOffset and EndOffset are the numbers of output tokens before and after
	// this frame.
	StartOffset int
	EndOffset   int
	Data        []byte
	// End marks the end of a complete answer; Data is empty then.
	End bool
}

// Stream reads a model engine's answer frame by frame.
type Stream struct {
	attempt       Attempt
	body          io.ReadCloser
	reader        *bufio.Reader
	cancel        context.CancelCauseFunc
	watchdog      watchdog
	longLine      []byte
	cachedIDField []byte
}

// Next returns the next frame. Its error is of KindMismatch for a malformed or wrong
// frame, and of KindBroken if the answer ends before its end mark.
func (s *Stream) Next() (Frame, error) {
	offsets := tokenRange{from: -1}
	for {
		line, err := s.readLine()
		if err != nil {
			return Frame{}, &Error{Op: "read", Kind: KindBroken, Err: err}
		}
		s.watchdog.reset()
		switch {
		case bytes.HasPrefix(line, idPrefix):
			offsets, err = s.parseID(line[len(idPrefix):])
		case bytes.HasPrefix(line, dataPrefix):
			return s.parseFrame(line[len(dataPrefix):], offsets)
		}
		if err != nil {
			return Frame{}, err
		}
	}
}

// parseFrame checks that a frame's data belongs to the attempt's request. A negative
// offsets.from means that the event had no id line.
func (s *Stream) parseFrame(data []byte, offsets tokenRange) (Frame, error) {
	if bytes.Equal(data, endMark) {
		return Frame{End: true}, nil
	}
	if offsets.from < 0 {
		return Frame{}, &Error{Op: "read", Kind: KindMismatch, Err: errors.New("frame without attempt and offsets")}
	}
	if !bytes.Contains(data, s.requestIDField()) {
		return Frame{}, &Error{Op: "read", Kind: KindMismatch, Err: errors.New("frame of another request")}
	}
	return Frame{StartOffset: offsets.from, EndOffset: offsets.to, Data: data}, nil
}

// requestIDField returns the JSON field that each frame of the request contains.
func (s *Stream) requestIDField() []byte {
	if s.cachedIDField == nil {
		s.cachedIDField = []byte(`"id":` + strconv.Quote(s.attempt.RequestID))
	}
	return s.cachedIDField
}

// tokenRange is a range of output tokens.
type tokenRange struct {
	from, to int
}

// parseID parses an event id of the form ATTEMPT-FROM-TO.
func (s *Stream) parseID(id []byte) (tokenRange, error) {
	rest := id
	var numbers [3]int
	for i := range numbers {
		part, remainder, _ := bytes.Cut(rest, dash)
		v, err := strconv.Atoi(string(part))
		if err != nil {
			return tokenRange{}, s.mismatchError(id)
		}
		numbers[i], rest = v, remainder
	}
	if numbers[0] != s.attempt.Number || numbers[1] < 0 || numbers[2] < numbers[1] || len(rest) > 0 {
		return tokenRange{}, s.mismatchError(id)
	}
	return tokenRange{from: numbers[1], to: numbers[2]}, nil
}

func (s *Stream) mismatchError(id []byte) error {
	return &Error{Op: "read", Kind: KindMismatch, Err: errors.Errorf("frame id %q: expected %d-FROM-TO", id, s.attempt.Number)}
}

// readLine returns the next line without its line ending. A line longer than the
// reader's buffer is assembled in longLine.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		s.longLine = append(s.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = s.reader.ReadSlice('\n')
			s.longLine = append(s.longLine, line...)
			if len(s.longLine) > maxLineBytes {
				return nil, errors.Errorf("line is longer than %d bytes", maxLineBytes)
			}
		}
		line = s.longLine
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// maxLineBytes is the longest line of an answer.
const maxLineBytes = 1 << 20

// Close closes the response and cancels the attempt.
func (s *Stream) Close() {
	s.watchdog.stop()
	s.cancel(context.Canceled)
	if s.body != nil {
		_ = s.body.Close()
	}
}

// watchdog cancels an attempt if it isn't reset for the time silence; 0 disables it.
type watchdog struct {
	silence time.Duration
	cancel  context.CancelCauseFunc
	timer   *time.Timer
}

func (w *watchdog) start() {
	if w.silence > 0 {
		w.timer = time.AfterFunc(w.silence, func() { w.cancel(errSilenceTimeout) })
	}
}

func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.silence)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// Chunk holds the fields of a model engine's frame that routers read.
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

// ChunkDelta holds the text that a chunk adds to the answer.
type ChunkDelta struct {
	Content string `json:"content"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// DecodeChunk decodes the data of a frame. Its error is of KindMismatch.
func DecodeChunk(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, &Error{Op: "decode chunk", Kind: KindMismatch, Err: err}
	}
	return c, nil
}
