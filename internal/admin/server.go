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

// Limits of the service, for tools that make a few small calls.
const (
	maxConnections          = 16
	maxStreamsPerConnection = 8               // calls in progress on one connection
	maxRequestBytes         = 64 << 10        // size of one message
	maxResponseBytes        = 16 << 20        // size of one message; a status lists all shards of the fleet
	callTimeout             = 8 * time.Second // timeout of one call, at the client and at the server
	connectTimeout          = 3 * time.Second // timeout until a new connection is set up
	idleTimeout             = time.Minute     // time after which a connection without a call is closed
)

// Names of the service and its methods on the wire.
const (
	serviceName          = "tillerarch.Admin"
	methodShardingStatus = "Shares"
	methodStartTransfer  = "Move"
	methodAbortTransfer  = "Abort"
	methodSetDraining    = "Drain"
)

// Backend carries out the requests of the service. Each call ends when its context ends. The
// error for a request that cannot be carried out is a *RequestError; any other error counts
// as a fault of the controller.
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

// Error returns the reason.
func (e *RequestError) Error() string { return e.Reason }

// serviceDesc describes the service to gRPC. It replaces generated code.
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

// newMethodDesc returns the description of one method of the service. call is a method
// expression of Backend.
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

// statusFromError converts an error of the backend to a gRPC status. The status code
// distinguishes a request that is refused permanently from one that may be repeated.
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

// NewServer returns a gRPC server of the service. The caller passes a listener from
// LimitConnections to its Serve method, and has to stop the server.
func NewServer(backend Backend) *grpc.Server {
	registerCodec()
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.MaxSendMsgSize(maxResponseBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerConnection),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
	)
	server.RegisterService(&serviceDesc, backend)
	return server
}

// LimitConnections returns a listener that accepts connections from the given one, at most
// maxConnections at once. Further connections wait to be accepted.
func LimitConnections(listener net.Listener) net.Listener {
	return netutil.LimitListener(listener, maxConnections)
}
