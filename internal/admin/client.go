package admin

import (
	"context"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Client calls the admin service of one controller. Each call ends with its context, and
// within callTimeout. An error that is a *RequestError says whether the call may be
// repeated.
type Client struct{ connection *grpc.ClientConn }

// Dial makes a client of the service at an address. The first call connects. The caller
// closes the client.
func Dial(address string) (*Client, error) {
	registerCodec()
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(codecName),
			grpc.MaxCallRecvMsgSize(maxResponseBytes),
		),
	)
	if err != nil {
		return nil, err // it names the address, and is shown to the operator
	}
	return &Client{connection}, nil
}

// Close closes the connection; calls under way fail.
func (c *Client) Close() error { return c.connection.Close() }

// GetShardingStatus asks who owns which machines.
func (c *Client) GetShardingStatus(ctx context.Context) (*ShardingStatus, error) {
	return invoke[ShardingStatus](ctx, c, methodShardingStatus, &ShardingStatusRequest{})
}

// StartTransfer asks for the transfer of a shard.
func (c *Client) StartTransfer(ctx context.Context, request *TransferRequest) (*Transfer, error) {
	return invoke[Transfer](ctx, c, methodStartTransfer, request)
}

// AbortTransfer asks for a transfer to be aborted.
func (c *Client) AbortTransfer(ctx context.Context, request *AbortTransferRequest) (*Transfer, error) {
	return invoke[Transfer](ctx, c, methodAbortTransfer, request)
}

// SetDraining asks for a controller to be drained, or to take part again.
func (c *Client) SetDraining(ctx context.Context, request *SetDrainingRequest) (*Controller, error) {
	return invoke[Controller](ctx, c, methodSetDraining, request)
}

// invoke makes one call within callTimeout and converts its status: the inverse of
// statusFromError, with what gRPC itself may answer.
func invoke[Response any](ctx context.Context, c *Client, method string, request any) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response := new(Response)
	err := c.connection.Invoke(ctx, "/"+serviceName+"/"+method, request, response)
	if err == nil {
		return response, nil
	}
	grpcStatus := status.Convert(err)
	switch grpcStatus.Code() {
	case codes.FailedPrecondition, codes.InvalidArgument:
		return nil, &RequestError{Reason: grpcStatus.Message()}
	case codes.Unavailable, codes.DeadlineExceeded, codes.ResourceExhausted:
		return nil, &RequestError{Reason: grpcStatus.Message(), Retryable: true}
	}
	return nil, fmt.Errorf("%s: %s", grpcStatus.Code(), grpcStatus.Message())
}
