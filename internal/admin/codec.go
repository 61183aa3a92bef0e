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

func (jsonCodec) Marshal(v any) ([]byte, error)      { return json.Marshal(v) }
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
func (jsonCodec) Name() string                       { return codecName }

// registerCodec makes the codec known to gRPC. NewServer and Dial call it, so that a
// process which does neither sets nothing up; once, as gRPC reads its codecs without a
// lock.
var registerCodec = sync.OnceFunc(func() { encoding.RegisterCodec(jsonCodec{}) })
