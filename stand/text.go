// Package stand implements stand-ins for endpoints: model engines whose answers depend on
// the request alone, and plain services that count how often they run a call. Directives
// in a request inject faults. Network is an in-memory network for tests.
package stand

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"buckthornpin/endpt"
)

// vocabulary lists the words that answers consist of.
var vocabulary = []string{
	"warm", "front", "north", "east", "drift", "shelf", "shoal", "current",
	"depth", "net", "haul", "tide", "café", "awning", "permit", "clause",
	"parish", "kerb", "table", "notice", "plan", "hearing", "season", "port",
}

// Prompt is the part of a request that determines the answer.
type Prompt struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
}

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// DecodePrompt decodes the body of a chat request.
func DecodePrompt(body []byte) (Prompt, error) {
	var p Prompt
	err := json.Unmarshal(body, &p)
	return p, err
}

// Word returns output token i of the answer. A hash of the prompt and i selects it.
func (p Prompt) Word(i int) string {
	d := xxhash.New()
	_, _ = d.WriteString(p.Model)
	for _, m := range p.Messages {
		_, _ = d.WriteString("\n" + m.Role + ":" + m.Content)
	}
	_, _ = d.WriteString("#" + strconv.Itoa(i))
	return vocabulary[d.Sum64()%uint64(len(vocabulary))] + " "
}

// Tokens returns the number of output tokens of the answer: that of the directives, or
// MaxTokens if that is lower.
func (p Prompt) Tokens(f Faults) int {
	return min(f.Tokens, p.MaxTokens)
}

// Text returns the text of the complete answer.
func (p Prompt) Text() string {
	var b strings.Builder
	f, _ := p.Faults()
	for i := range p.Tokens(f) {
		b.WriteString(p.Word(i))
	}
	return b.String()
}

// Usage returns the token usage of the complete answer. Each word of the messages counts
// as one prompt token.
func (p Prompt) Usage() endpt.Usage {
	f, _ := p.Faults()
	prompt := 0
	for _, m := range p.Messages {
		prompt += len(strings.Fields(m.Content))
	}
	n := int64(p.Tokens(f))
	return endpt.Usage{PromptTokens: int64(prompt), CompletionTokens: n, TotalTokens: int64(prompt) + n}
}
