package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"tillerarch/internal/admin"
	"tillerarch/internal/coordination/requests"
	"tillerarch/internal/coordination/step"
	"tillerarch/internal/protocol"
	"tillerarch/internal/storage"
)

// adminBackend implements admin.Backend. It forwards the requests of the admin service to the core.
type adminBackend struct{ daemon *daemon }

// serveAdmin serves the admin service at an address until the context ends. It logs a failure, and
// the daemon keeps running.
func (d *daemon) serveAdmin(ctx context.Context, address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		slog.Error("admin service failed to start", "error", err)
		return
	}
	slog.Info("admin service listening", "listen", listener.Addr().String())
	server := admin.NewServer(adminBackend{daemon: d})
	cancelStop := context.AfterFunc(ctx, server.Stop)
	defer cancelStop()
	err = server.Serve(admin.LimitConnections(listener))
	if ctx.Err() == nil {
		slog.Error("admin service stopped", "error", err)
	}
}

// inputFactory returns the input of an operator's request, given the ID of the request.
type inputFactory func(step.RequestID) step.Input

// callCore passes an operator's request to the core and returns the core's reply. It returns a
// retryable *admin.RequestError if the input queue is full.
func (d *daemon) callCore(ctx context.Context, makeInput inputFactory) (step.Effect, error) {
	reply := make(chan step.Effect, 1)
	if !d.tryEnqueue(queuedInput{adminRequest: &adminRequest{makeInput: makeInput, reply: reply}}) {
		return nil, &admin.RequestError{Reason: "the controller is overloaded", Retryable: true}
	}
	select {
	case effect := <-reply:
		return effect, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the core's reply: %w", ctx.Err())
	}
}

// callCoreForReply passes an operator's request to the core and returns the reply, which must have
// type Reply.
func callCoreForReply[Reply step.Effect](
	ctx context.Context,
	d *daemon,
	makeInput inputFactory,
) (reply Reply, err error) {
	effect, err := d.callCore(ctx, makeInput)
	if err != nil {
		return reply, err
	}
	reply, ok := effect.(Reply)
	if !ok {
		return reply, fmt.Errorf("core replied with unexpected type %T", effect)
	}
	return reply, nil
}

// GetShardingStatus returns the controllers, their shards and the transfers of shards.
func (b adminBackend) GetShardingStatus(
	ctx context.Context,
	_ *admin.ShardingStatusRequest,
) (*admin.ShardingStatus, error) {
	reply, err := callCoreForReply[requests.ShardingStatusReply](ctx, b.daemon, func(id step.RequestID) step.Input {
		return requests.ShardingStatusRequest{RequestID: id}
	})
	if err != nil {
		return nil, err
	}
	return shardingStatusMessage(&reply), nil
}

// StartTransfer requests a transfer and returns its record.
func (b adminBackend) StartTransfer(ctx context.Context, r *admin.TransferRequest) (*admin.Transfer, error) {
	return b.requestTransfer(ctx, requests.TransferRequest{
		Name:   r.Name,
		Shard:  storage.ShardID(r.Shard),
		Source: protocol.ControllerID(r.Source),
		Target: protocol.ControllerID(r.Target),
	})
}

// SetDraining requests the start or the end of a controller's drain and returns the controller's
// status.
func (b adminBackend) SetDraining(ctx context.Context, request *admin.SetDrainingRequest) (*admin.Controller, error) {
	reply, err := callCoreForReply[requests.DrainReply](ctx, b.daemon, func(id step.RequestID) step.Input {
		return requests.DrainRequest{RequestID: id, Controller: protocol.ControllerID(request.Controller), Drain: request.Draining}
	})
	if err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, toRequestError(reply.Err)
	}
	controller := controllerMessage(&reply.Status)
	return &controller, nil
}

// toRequestError converts the core's refusal of a request into an error of the admin service.
// Other errors are returned unchanged.
func toRequestError(err error) error {
	var requestErr *requests.RequestError
	if errors.As(err, &requestErr) {
		return &admin.RequestError{Reason: requestErr.Reason, Retryable: requestErr.Transient}
	}
	return err
}

// AbortTransfer requests the abort of a transfer and returns the transfer's record.
func (b adminBackend) AbortTransfer(ctx context.Context, r *admin.AbortTransferRequest) (*admin.Transfer, error) {
	return b.requestTransfer(ctx, requests.TransferRequest{Name: r.Name, Abort: true})
}

// requestTransfer passes a request to start or abort a transfer to the core and returns the
// transfer's record.
func (b adminBackend) requestTransfer(ctx context.Context, request requests.TransferRequest) (*admin.Transfer, error) {
	reply, err := callCoreForReply[requests.TransferReply](ctx, b.daemon, func(id step.RequestID) step.Input {
		request.RequestID = id
		return request
	})
	if err != nil {
		return nil, err
	}
	if reply.Err != nil {
		return nil, toRequestError(reply.Err)
	}
	transfer := transferMessage(&reply.Transfer)
	return &transfer, nil
}

// shardingStatusMessage converts the core's sharding status into the admin service's message.
func shardingStatusMessage(reply *requests.ShardingStatusReply) *admin.ShardingStatus {
	status := &admin.ShardingStatus{Revision: uint64(reply.Revision), Stale: reply.Stale}
	for i := range reply.Controllers {
		status.Controllers = append(status.Controllers, controllerMessage(&reply.Controllers[i]))
	}
	for _, shard := range reply.Shards {
		status.Shards = append(status.Shards, admin.Shard{
			ID:       string(shard.ID),
			Owner:    string(shard.Owner),
			Epoch:    uint64(shard.Epoch),
			Machines: shard.Machines,
			Tasks:    shard.Tasks,
		})
	}
	for i := range reply.Transfers {
		status.Transfers = append(status.Transfers, transferMessage(&reply.Transfers[i]))
	}
	for _, planned := range reply.PlannedTransfers {
		status.PlannedTransfers = append(status.PlannedTransfers, admin.PlannedTransfer{
			Shard:  string(planned.Shard),
			Source: string(planned.Source),
			Target: string(planned.Target),
		})
	}
	return status
}

// controllerMessage converts a controller's status into the admin service's message.
func controllerMessage(c *requests.ControllerStatus) admin.Controller {
	return admin.Controller{
		ID:                string(c.ID),
		Incarnation:       string(c.Incarnation),
		Shards:            c.Shards,
		Machines:          c.Machines,
		SupportsTransfers: c.SupportsTransfers,
		Draining:          c.Draining,
	}
}

// transferMessage converts a transfer's record into the admin service's message.
func transferMessage(record *storage.TransferRecord) admin.Transfer {
	return admin.Transfer{
		Name:        record.Name,
		Shard:       string(record.Shard),
		Source:      string(record.Source),
		Target:      string(record.Target),
		Phase:       string(record.Phase),
		Reason:      record.Reason,
		Machines:    record.MachineCount,
		ProposedAt:  wallTime(record.ProposedAt),
		PreparedAt:  wallTime(record.PreparedAt),
		CommittedAt: wallTime(record.CommittedAt),
		EndedAt:     wallTime(record.EndedAt),
	}
}

// wallTime converts a recorded time to a time.Time in UTC. Zero, which means none, becomes the zero
// time.
func wallTime(at protocol.Millis) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(at)).UTC()
}
