package admin

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
)

// Bounds of the service: a tool makes a few small calls.
const (
	maxConnections  = 16
	maxStreams      = 8
	maxRequestBytes = 64 << 10
	maxAnswerBytes  = 16 << 20 // a fleet's pages
	callTimeout     = 8 * time.Second
	connectTimeout  = 3 * time.Second
	idleTimeout     = time.Minute
)

const serviceName = "tillerarch.Admin"

// Names of the methods.
const (
	methodShares = "Shares"
	methodMove   = "Move"
	methodAbort  = "Abort"
	methodDrain  = "Drain"
)

// Backend answers the service's requests.
type Backend interface {
	Shares(context.Context, *SharesRequest) (*Shares, error)
	Move(context.Context, *MoveRequest) (*Move, error)
	Abort(context.Context, *AbortRequest) (*Move, error)
	Drain(context.Context, *DrainRequest) (*Controller, error)
}

// Refusal is a request that can't be carried out as it is.
type Refusal struct {
	Reason string
	Again  bool // it may be asked again as it is
}

func (r *Refusal) Error() string { return r.Reason }

// description lists the methods.
var description = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Backend)(nil),
	Methods: []grpc.MethodDesc{
		method(methodShares, Backend.Shares),
		method(methodMove, Backend.Move),
		method(methodAbort, Backend.Abort),
		method(methodDrain, Backend.Drain),
	},
}

// method describes one method of the service.
func method[Request, Answer any](name string, call func(Backend, context.Context, *Request) (*Answer, error)) grpc.MethodDesc {
	handler := func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		request := new(Request)
		if err := decode(request); err != nil {
			return nil, status.Error(codes.InvalidArgument, "malformed request")
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer, err := call(server.(Backend), ctx, request)
		if err != nil {
			return nil, asStatus(err)
		}
		return answer, nil
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// asStatus gives the status by which a tool tells a refusal from a trouble that passes.
func asStatus(err error) error {
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal) && !refusal.Again:
		return status.Error(codes.FailedPrecondition, refusal.Reason)
	case errors.As(err, &refusal):
		return status.Error(codes.Unavailable, refusal.Reason)
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, "the controller did not answer in time")
	}
	return status.Error(codes.Internal, err.Error())
}

// NewServer makes the service. Serve takes its listener by way of Limit.
func NewServer(backend Backend) *grpc.Server {
	registerCodec()
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.MaxSendMsgSize(maxAnswerBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
	)
	server.RegisterService(&description, backend)
	return server
}

// Limit bounds the connections that a listener has at once.
func Limit(listener net.Listener) net.Listener {
	return netutil.LimitListener(listener, maxConnections)
}
