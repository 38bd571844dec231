package router

import (
	"encoding/json"

	"buckthornpin"
	"buckthornpin/endpt"
)

// encodeServiceAnswer encodes a plain service's answer as a single frame.
func encodeServiceAnswer(a *endpt.Answer) []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // An Answer of strings, numbers and bytes always encodes.
	}
	return data
}

// DecodeServiceAnswer decodes the frame of a plain service's answer.
func DecodeServiceAnswer(data []byte) (*endpt.Answer, error) {
	a := &endpt.Answer{}
	return a, buckthornpin.WrapIf(json.Unmarshal(data, a), "decode service answer")
}

// keepFinalFrame keeps the frame that ends the answer until the request has been billed.
func (f *flight) keepFinalFrame(data []byte) {
	f.finalFrame = append([]byte(nil), data...)
}

// deliverFinalFrame appends the frame that was kept, if any.
func (f *flight) deliverFinalFrame() {
	if f.finalFrame != nil {
		f.answer.Append(f.delivered, f.finalFrame)
	}
}
