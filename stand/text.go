// Package stand is a small stand-in for endpoints: model engines whose answers
// follow from the request alone, and plain services that count their runs.
// Faults are switched on by directives in the request.
package stand

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"buckthornpin/endpt"
)

// words are what the stand-in's answers are made of.
var words = []string{
	"warm", "front", "north", "east", "drift", "shelf", "shoal", "current",
	"depth", "net", "haul", "tide", "café", "awning", "permit", "clause",
	"parish", "kerb", "table", "notice", "plan", "hearing", "season", "port",
}

// Prompt is the part of a request that the answer follows from.
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

// Word returns output token i of the answer to p.
func (p Prompt) Word(i int) string {
	d := xxhash.New()
	_, _ = d.WriteString(p.Model)
	for _, m := range p.Messages {
		_, _ = d.WriteString("\n" + m.Role + ":" + m.Content)
	}
	_, _ = d.WriteString("#" + strconv.Itoa(i))
	return words[d.Sum64()%uint64(len(words))] + " "
}

// Tokens returns the number of output tokens of the answer to p.
func (p Prompt) Tokens(f Faults) int {
	return min(f.Tokens, p.MaxTokens)
}

// Text returns the whole answer to p.
func (p Prompt) Text() string {
	var b strings.Builder
	f, _ := p.Faults()
	for i := range p.Tokens(f) {
		b.WriteString(p.Word(i))
	}
	return b.String()
}

// Usage returns the bill of the whole answer to p.
func (p Prompt) Usage() endpt.Usage {
	f, _ := p.Faults()
	prompt := 0
	for _, m := range p.Messages {
		prompt += len(strings.Fields(m.Content))
	}
	n := int64(p.Tokens(f))
	return endpt.Usage{PromptTokens: int64(prompt), CompletionTokens: n, TotalTokens: int64(prompt) + n}
}
