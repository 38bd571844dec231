package router

import (
	"encoding/json"

	"buckthornpin"
	"buckthornpin/endpt"
)

// encodeServiceAnswer puts a plain service's answer into one frame.
func encodeServiceAnswer(a *endpt.Answer) []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // An Answer of strings, numbers and bytes always encodes.
	}
	return data
}

// DecodeServiceAnswer reads the frame of a plain service's answer.
func DecodeServiceAnswer(data []byte) (*endpt.Answer, error) {
	a := &endpt.Answer{}
	return a, buckthornpin.WrapIf(json.Unmarshal(data, a), "decode service answer")
}

// lastData keeps the frame that ends the answer until the bill is booked.
func (f *flight) lastData(data []byte) {
	f.last = append([]byte(nil), data...)
}

func (f *flight) deliverLast() {
	if f.last != nil {
		f.answer.Append(f.delivered, f.last)
	}
}
