package app

import (
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin/stand"
)

// startSmallSite starts a site of one control replica, one router and one engine
// in this process.
func startSmallSite(t *testing.T, change func(*LocalSite)) *LocalSite {
	t.Helper()
	s := &LocalSite{ControlReplicas: 1, Routers: 1, Engines: 1, Folder: t.TempDir(), Log: zerolog.Nop()}
	if change != nil {
		change(s)
	}
	require.NoError(t, s.Open(t.Context()))
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

// TestOpenAIClient checks that an unmodified openai-go client works.
func TestOpenAIClient(t *testing.T) {
	s := startSmallSite(t, nil)
	key, err := s.AddOrganisation(t.Context(), "fleet", 100_000)
	require.NoError(t, err)
	client := openai.NewClient(option.WithBaseURL(s.URL(0)+"/v1"), option.WithAPIKey(key))
	question := "Which parish needs the plan?"
	params := openai.ChatCompletionNewParams{
		Model: demoModel, MaxTokens: openai.Int(40),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
	}
	prompt := stand.Prompt{Model: demoModel, MaxTokens: 40, Messages: []stand.Message{{Role: "user", Content: question}}}

	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Len(t, page.Data, 1)
		require.Equal(t, demoModel, page.Data[0].ID)
	})
	t.Run("whole", func(t *testing.T) {
		c, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.Equal(t, prompt.Text(), c.Choices[0].Message.Content)
		require.Equal(t, prompt.Usage().TotalTokens, c.Usage.TotalTokens)
		require.Equal(t, "stop", c.Choices[0].FinishReason)
	})
	t.Run("streamed", func(t *testing.T) {
		var text strings.Builder
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, prompt.Text(), text.String())
	})
	t.Run("a wrong key", func(t *testing.T) {
		wrong := openai.NewClient(option.WithBaseURL(s.URL(0)+"/v1"), option.WithAPIKey("wrong"))
		_, err := wrong.Chat.Completions.New(t.Context(), params)
		var problem *openai.Error
		require.ErrorAs(t, err, &problem)
		require.Equal(t, 401, problem.StatusCode)
	})
}
