package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by the errors of messages that are not as the protocol
// demands. To a user it is status 400.
var ErrMalformed = errors.New("malformed")

// malformed names the field, in the words of the wire, or the message that is at fault.
func malformed(what string) error { return fmt.Errorf("%w: %s", ErrMalformed, what) }

// decodeObject reads one JSON object with nothing after it. Unknown fields are ignored,
// as the protocol demands.
func decodeObject(body []byte, v any) error {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return malformed("not a JSON object")
	}
	if err := json.Unmarshal(trimmed, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Encode returns a message's wire form. It panics on a value that JSON cannot express,
// which no message of this package is.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return b
}
