package admin

import (
	"context"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Client calls the admin service of one daemon.
type Client struct{ connection *grpc.ClientConn }

// Dial makes a client of the service at an address. It connects with the first call.
func Dial(address string) (*Client, error) {
	registerCodec()
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxAnswerBytes)))
	if err != nil {
		return nil, err
	}
	return &Client{connection}, nil
}

// Close ends the client's connection.
func (c *Client) Close() error { return c.connection.Close() }

// Shares asks who owns which machines.
func (c *Client) Shares(ctx context.Context) (*Shares, error) {
	return call[Shares](ctx, c, methodShares, &SharesRequest{})
}

// Move asks for a page to be moved.
func (c *Client) Move(ctx context.Context, request *MoveRequest) (*Move, error) {
	return call[Move](ctx, c, methodMove, request)
}

// Abort asks for a move to be aborted.
func (c *Client) Abort(ctx context.Context, request *AbortRequest) (*Move, error) {
	return call[Move](ctx, c, methodAbort, request)
}

// Drain asks for a controller to be drained, or to be no longer.
func (c *Client) Drain(ctx context.Context, request *DrainRequest) (*Controller, error) {
	return call[Controller](ctx, c, methodDrain, request)
}

// call makes one call, bounded in time, and turns its status into a Refusal.
func call[Answer any](ctx context.Context, c *Client, method string, request any) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := new(Answer)
	err := c.connection.Invoke(ctx, "/"+serviceName+"/"+method, request, answer)
	if err == nil {
		return answer, nil
	}
	s := status.Convert(err)
	switch s.Code() {
	case codes.FailedPrecondition, codes.InvalidArgument:
		return nil, &Refusal{Reason: s.Message()}
	case codes.Unavailable, codes.DeadlineExceeded, codes.ResourceExhausted:
		return nil, &Refusal{Reason: s.Message(), Again: true}
	}
	return nil, fmt.Errorf("%s: %s", s.Code(), s.Message())
}
