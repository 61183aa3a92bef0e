package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by the errors for messages that violate the protocol. Users
// receive it as status 400.
var ErrMalformed = errors.New("malformed")

// malformedError returns an error that names the invalid message, or the invalid field by
// its wire name.
func malformedError(subject string) error { return fmt.Errorf("%w: %s", ErrMalformed, subject) }

// decodeObject decodes a body that consists of exactly one JSON object. It ignores unknown
// fields, as the protocol requires.
func decodeObject(body []byte, v any) error {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return malformedError("not a JSON object")
	}
	if err := json.Unmarshal(trimmed, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Encode returns the wire form of a message. It panics if JSON cannot represent the value,
// which is the case for no message of this package.
func Encode(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return encoded
}
