package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"buckthornpin"
	"buckthornpin/endpt"
	"buckthornpin/router"
	"buckthornpin/stream"
)

// chatBody holds the fields of a chat request that the router reads. All other
// fields are passed on unchanged. The error texts of encoding/json contain the type's
// name.
type chatBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	Stream              bool            `json:"stream"`
}

// modelList is the answer to GET /v1/models in the OpenAI format.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) listModels(ctx iris.Context) {
	o, ok := s.authenticate(ctx)
	if !ok {
		return
	}
	out := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range s.Models.Models() {
		if mayUse(o, m) {
			out.Data = append(out.Data, modelItem{ID: m, Object: "model", OwnedBy: "buckthornpin"})
		}
	}
	_ = ctx.JSON(out)
}

func (s *Server) chatCompletions(ctx iris.Context) {
	r, o, ok := s.readRequest(ctx)
	if !ok {
		return
	}
	b, err := decodeChat(r.Body)
	if err != nil {
		refuse(ctx, invalidRequest(ctx, err))
		return
	}
	if !mayUse(o, b.Model) {
		refuse(ctx, router.NewRefusal(http.StatusForbidden, router.CodeForbidden, "the organisation may not use model "+strconv.Quote(b.Model), r.KeyGenerated, 0))
		return
	}
	r, err = withCostBound(r, b, s.Accounts.Policy())
	if err != nil {
		refuse(ctx, invalidRequest(ctx, err))
		return
	}
	offset, err := resumeOffset(ctx)
	if err != nil {
		refuse(ctx, invalidRequest(ctx, err))
		return
	}
	reader, refusal := s.Router.Start(r, offset)
	if refusal != nil {
		refuse(ctx, refusal)
		return
	}
	defer reader.Close()
	if b.Stream {
		s.writeStream(ctx, reader)
		return
	}
	s.writeCompletion(ctx, reader, b.Model)
}

func decodeChat(body []byte) (chatBody, error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return b, errors.Wrap(err, "body: expected a JSON object")
	}
	if b.Model == "" {
		return b, errors.New("model: expected the name of a model")
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
		return b, errors.New("messages: expected a list of at least one message")
	}
	if b.N > 1 {
		return b, errors.Errorf("n: %d: expected 1", b.N)
	}
	if b.MaxTokens < 0 || b.MaxCompletionTokens < 0 {
		return b, errors.New("max_tokens, max_completion_tokens: expected at least 1")
	}
	return b, nil
}

// withCostBound sets the request's model, cost bound and output cap. The bound is the
// length of the body, since a token of the prompt takes at least one byte, plus the
// output cap. The body is rewritten: it tells the endpoint the output cap and asks
// for a stream that reports its usage.
func withCostBound(r buckthornpin.Request, b chatBody, p buckthornpin.Policy) (buckthornpin.Request, error) {
	outputCap := p.OutputCap(max(b.MaxTokens, b.MaxCompletionTokens))
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return r, errors.Wrap(err, "body")
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(outputCap))
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, err := json.Marshal(fields)
	if err != nil {
		return r, errors.Wrap(err, "body")
	}
	r.Target = buckthornpin.Target{Model: b.Model}
	bound := buckthornpin.Tokens(len(r.Body) + outputCap)
	r.Body = body
	return r.WithLimits(bound, outputCap), nil
}

// resumeOffset returns the number of output tokens that the caller already has.
func resumeOffset(ctx iris.Context) (int, error) {
	return headerNumber(ctx, LastEventHeader, 0, 0, 1<<30)
}

// writeStream sends the answer as server-sent events. The end mark is sent only
// after a complete answer.
func (s *Server) writeStream(ctx iris.Context, reader *stream.Reader) {
	out := &eventWriter{ctx: ctx, timeout: s.WriteTimeout}
	keepAlive := time.NewTimer(s.KeepAlive)
	defer keepAlive.Stop()
	for {
		frames, complete, err := reader.NextOrTick(ctx.Request().Context(), keepAlive.C)
		switch {
		case errors.Is(err, stream.ErrTick):
			err = out.writeKeepAlive()
		case err != nil:
			out.writeRefusal(asRefusal(err))
			return
		case complete:
			_ = out.writeEndMark()
			return
		default:
			err = out.writeFrames(frames)
		}
		if err != nil {
			return
		}
		keepAlive.Reset(s.KeepAlive)
	}
}

// completion is an answer in the OpenAI format, sent as one JSON object.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *endpt.Usage       `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// writeCompletion waits for the complete answer and sends it as one JSON object.
func (s *Server) writeCompletion(ctx iris.Context, reader *stream.Reader, model string) {
	var text strings.Builder
	out := completion{Object: "chat.completion", Created: time.Now().Unix(), Model: model}
	finishReason := ""
	for {
		frames, complete, err := reader.Next(ctx.Request().Context())
		if err != nil {
			refuse(ctx, asRefusal(err))
			return
		}
		if complete {
			break
		}
		for _, f := range frames {
			c, err := endpt.DecodeChunk(f.Data)
			if err != nil {
				refuse(ctx, asRefusal(err))
				return
			}
			out.ID = c.ID
			finishReason = appendChunk(c, &text, finishReason)
			out.Usage = c.Usage
		}
	}
	out.Choices = []completionChoice{{Message: completionMessage{Role: "assistant", Content: text.String()}, FinishReason: finishReason}}
	_ = ctx.JSON(out)
}

// appendChunk adds a chunk to the text and returns the finish reason so far.
func appendChunk(c endpt.Chunk, text *strings.Builder, finishReason string) string {
	for _, choice := range c.Choices {
		text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			finishReason = *choice.FinishReason
		}
	}
	return finishReason
}
