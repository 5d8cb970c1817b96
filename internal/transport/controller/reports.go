package controller

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	megabyte               = 1 << 20
	defaultOutcomesLimitMB = 64
)

// outcomesLimitBytes returns the maximum total size of the outcome files.
func (c *Controller) outcomesLimitBytes() int64 {
	if c.settings.OutcomesLimitMB == 0 {
		return defaultOutcomesLimitMB * megabyte
	}
	return c.settings.OutcomesLimitMB * megabyte
}

// HandOver stores and syncs the records of an entry instance. Every control instance accepts them, not only the leader.
func (s *controlService) HandOver(_ context.Context, request *connect.Request[wire.HandOverRequest]) (*connect.Response[wire.HandOverResponse], error) {
	for _, record := range request.Msg.GetRecords() {
		if record.GetInstance() == "" || record.GetSequence() == 0 {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("records: instance and sequence must be set"))
		}
	}
	stored, err := s.controller.archiver.Store(request.Msg)
	if err != nil {
		s.controller.log.Error(err, "failed to store outcomes", "from", request.Msg.GetInstance())
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.HandOverResponse{
		StoredSequence: stored,
	}), nil
}

// Report returns the records stored at this control instance.
func (s *controlService) Report(_ context.Context, request *connect.Request[wire.ReportRequest]) (*connect.Response[wire.ReportResponse], error) {
	response, err := s.controller.archiver.Report(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}
