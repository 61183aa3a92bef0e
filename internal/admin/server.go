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
	maxConnections   = 16
	maxStreams       = 8
	maxRequestBytes  = 64 << 10
	maxResponseBytes = 16 << 20 // a fleet's pages
	callTimeout      = 8 * time.Second
	connectTimeout   = 3 * time.Second
	idleTimeout      = time.Minute
)

const serviceName = "tillerarch.Admin"

// Names of the methods.
const (
	methodShardingStatus = "Shares"
	methodStartTransfer  = "Move"
	methodAbortTransfer  = "Abort"
	methodSetDraining    = "Drain"
)

// Backend answers the service's requests.
type Backend interface {
	GetShardingStatus(context.Context, *ShardingStatusRequest) (*ShardingStatus, error)
	StartTransfer(context.Context, *TransferRequest) (*Transfer, error)
	AbortTransfer(context.Context, *AbortTransferRequest) (*Transfer, error)
	SetDraining(context.Context, *SetDrainingRequest) (*Controller, error)
}

// RequestError is a request that can't be carried out as it is.
type RequestError struct {
	Reason    string
	Retryable bool // it may be asked again as it is
}

func (r *RequestError) Error() string { return r.Reason }

// serviceDesc lists the methods.
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

// newMethodDesc describes one method of the service.
func newMethodDesc[Request, Response any](name string, call func(Backend, context.Context, *Request) (*Response, error)) grpc.MethodDesc {
	handler := func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
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

// statusFromError gives the status by which a tool tells a refusal from a trouble that passes.
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

// NewServer makes the service. Serve takes its listener by way of Limit.
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

// LimitConnections bounds the connections that a listener has at once.
func LimitConnections(listener net.Listener) net.Listener {
	return netutil.LimitListener(listener, maxConnections)
}
