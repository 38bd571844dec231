package app

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestDemoAnswersWholeAndBillsOnce(t *testing.T) {
	var out bytes.Buffer
	d := &Demo{Out: &out, Log: zerolog.Nop(), JSON: true}
	require.NoError(t, d.Run(t.Context()))
	var report DemoReport
	require.NoError(t, json.Unmarshal(out.Bytes(), &report))
	require.Equal(t, report.Expected, report.Settled)
	require.NotEmpty(t, report.Timeline)
}
