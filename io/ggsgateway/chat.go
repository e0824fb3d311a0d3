package ggsgateway

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// modelMember is the member of a chat request that names the model.
const modelMember = "model"

// A chatBody holds the members of a chat request that the gateway reads. All other
// members are forwarded unchanged.
type chatBody struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// replaceModel returns a valid JSON object with another value of its member model. The others aren't decoded: an object of many short
// members would take many times its size.
func replaceModel(body, model []byte) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, errors.CombineErrors(&NotObjectError{}, err)
	}
	begin := d.InputOffset()
	out := make([]byte, 0, len(body)+len(model)+len(modelMember)+len(`"":,`))
	var value json.RawMessage
	copied, found := int64(0), false
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, errors.Wrap(err, "reading a member's name")
		}
		if err := d.Decode(&value); err != nil {
			return nil, errors.Wrap(err, "reading a member's value")
		}
		if key != modelMember {
			continue
		}
		found = true
		out = append(append(out, body[copied:d.InputOffset()-int64(len(value))]...), model...)
		copied = d.InputOffset()
	}
	if !found {
		out = append(out, body[:begin]...)
		out = append(append(append(out, `"`+modelMember+`":`...), model...), ',')
		copied = begin
	}
	return append(out, body[copied:]...), nil
}
