package admin

import (
	"encoding/json"
	"sync"

	"google.golang.org/grpc/encoding"
)

// codecName is the content subtype of the service's messages.
const codecName = "json"

// jsonCodec encodes messages as JSON.
type jsonCodec struct{}

// Marshal returns the JSON encoding of a message.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal decodes a message from JSON.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// Name returns the content subtype that selects the codec.
func (jsonCodec) Name() string { return codecName }

// registerCodec registers the codec with gRPC. NewServer and Dial call it, so that a process
// that calls neither registers nothing. It registers the codec only once, because gRPC reads
// its codecs without a lock.
var registerCodec = sync.OnceFunc(func() { encoding.RegisterCodec(jsonCodec{}) })
