package app

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/config"
)

// TestWriteTimeoutEndsWithItsAnswer checks that the write timeout of a streamed
// answer doesn't cut off a later answer on the same connection that is sent after
// that timeout.
func TestWriteTimeoutEndsWithItsAnswer(t *testing.T) {
	s := startSmallSite(t, func(s *LocalSite) {
		s.Pace = 10 * time.Millisecond
		s.ChangeSettings = func(cfg *config.Settings) { cfg.Caller.WriteTimeout = config.Duration(100 * time.Millisecond) }
	})
	key, err := s.AddOrganisation(t.Context(), "fleet", 100_000)
	require.NoError(t, err)
	d := &Demo{site: s, key: key, http: http.DefaultClient}
	prompt := demoPrompt("first @tokens=3")
	_, _, err = d.post(t.Context(), 0, "/v1/chat/completions", "", false, chatRequest{Prompt: prompt, Stream: true})
	require.NoError(t, err)
	prompt = demoPrompt("second @tokens=30")
	status, body, err := d.post(t.Context(), 0, "/v1/chat/completions", "", false, chatRequest{Prompt: prompt})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal(body, &answer))
	require.Equal(t, prompt.Text(), answer.Choices[0].Message.Content)
}
