package admin

import (
	"context"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Client calls the admin service of one controller. Each call ends when its context ends,
// and after callTimeout at the latest. If the error of a call is a *RequestError, it reports
// whether the call may be repeated.
type Client struct{ connection *grpc.ClientConn }

// Dial returns a client of the service at an address. The first call connects. The caller
// has to close the client.
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
		return nil, err // the error names the address and is shown to the operator
	}
	return &Client{connection}, nil
}

// Close closes the connection. Calls in progress fail.
func (c *Client) Close() error { return c.connection.Close() }

// GetShardingStatus returns the ownership of all machines and the transfers of shards.
func (c *Client) GetShardingStatus(ctx context.Context) (*ShardingStatus, error) {
	return invoke[ShardingStatus](ctx, c, methodShardingStatus, &ShardingStatusRequest{})
}

// StartTransfer requests the transfer of a shard and returns the recorded transfer.
func (c *Client) StartTransfer(ctx context.Context, request *TransferRequest) (*Transfer, error) {
	return invoke[Transfer](ctx, c, methodStartTransfer, request)
}

// AbortTransfer requests that a transfer is aborted and returns the transfer.
func (c *Client) AbortTransfer(ctx context.Context, request *AbortTransferRequest) (*Transfer, error) {
	return invoke[Transfer](ctx, c, methodAbortTransfer, request)
}

// SetDraining requests that a controller is drained, or that it takes part again, and returns
// the controller's status.
func (c *Client) SetDraining(ctx context.Context, request *SetDrainingRequest) (*Controller, error) {
	return invoke[Controller](ctx, c, methodSetDraining, request)
}

// invoke makes one call within callTimeout and converts the status of the call to an error.
// The conversion is the inverse of statusFromError, and also covers statuses of gRPC itself.
func invoke[Response any](ctx context.Context, client *Client, method string, request any) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response := new(Response)
	err := client.connection.Invoke(ctx, "/"+serviceName+"/"+method, request, response)
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
