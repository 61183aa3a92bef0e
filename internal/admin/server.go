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

// Limits of the service: a tool makes a few small calls.
const (
	maxConnections   = 16
	maxStreams       = 8               // calls under way on one connection
	maxRequestBytes  = 64 << 10        // of one message
	maxResponseBytes = 16 << 20        // of one message; a status lists all shards of the fleet
	callTimeout      = 8 * time.Second // of one call, at the client and at the server
	connectTimeout   = 3 * time.Second // until a new connection is set up
	idleTimeout      = time.Minute     // a connection without a call is closed after this
)

// Names of the service and its methods on the wire.
const (
	serviceName          = "tillerarch.Admin"
	methodShardingStatus = "Shares"
	methodStartTransfer  = "Move"
	methodAbortTransfer  = "Abort"
	methodSetDraining    = "Drain"
)

// Backend carries the service's requests out. Each call ends with its context. A request
// that cannot be carried out is answered with a *RequestError; any other error counts as
// a fault of the controller.
type Backend interface {
	GetShardingStatus(context.Context, *ShardingStatusRequest) (*ShardingStatus, error)
	StartTransfer(context.Context, *TransferRequest) (*Transfer, error)
	AbortTransfer(context.Context, *AbortTransferRequest) (*Transfer, error)
	SetDraining(context.Context, *SetDrainingRequest) (*Controller, error)
}

// RequestError is the error of a request that was not carried out. Reason is shown to the
// operator.
type RequestError struct {
	Reason    string
	Retryable bool // the same request may succeed later
}

func (e *RequestError) Error() string { return e.Reason }

// serviceDesc describes the service to gRPC, in place of generated code.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Backend)(nil),
	Methods: []grpc.MethodDesc{
		newMethodDesc(methodShardingStatus, Backend.GetShardingStatus),
		newMethodDesc(methodStartTransfer, Backend.StartTransfer),
		newMethodDesc(methodAbortTransfer, Backend.AbortTransfer),
		newMethodDesc(methodSetDraining, Backend.SetDraining),
	},
}

// newMethodDesc describes one method, given as a method expression of Backend.
func newMethodDesc[Request, Response any](
	name string,
	call func(Backend, context.Context, *Request) (*Response, error),
) grpc.MethodDesc {
	handler := func(
		server any,
		ctx context.Context,
		decode func(any) error,
		_ grpc.UnaryServerInterceptor, // the server has none
	) (any, error) {
		request := new(Request)
		if err := decode(request); err != nil {
			return nil, status.Error(codes.InvalidArgument, "malformed request")
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response, err := call(server.(Backend), ctx, request)
		if err != nil {
			return nil, statusFromError(err)
		}
		return response, nil
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

// statusFromError returns the status by which a tool tells a request that is refused for
// good from one that may be repeated.
func statusFromError(err error) error {
	var requestErr *RequestError
	switch {
	case errors.As(err, &requestErr) && !requestErr.Retryable:
		return status.Error(codes.FailedPrecondition, requestErr.Reason)
	case errors.As(err, &requestErr):
		return status.Error(codes.Unavailable, requestErr.Reason)
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, "the controller did not answer in time")
	}
	return status.Error(codes.Internal, err.Error())
}

// NewServer makes the service. The caller gives its Serve a listener that
// LimitConnections returned, and stops it.
func NewServer(backend Backend) *grpc.Server {
	registerCodec()
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.MaxSendMsgSize(maxResponseBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
	)
	server.RegisterService(&serviceDesc, backend)
	return server
}

// LimitConnections bounds the connections that a listener has at once; further ones wait
// to be accepted.
func LimitConnections(listener net.Listener) net.Listener {
	return netutil.LimitListener(listener, maxConnections)
}
