package operator

import (
	"context"
	"strings"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// readConfig returns the configuration of the control instance, or nil if it does not answer or is not in contact with a quorum. It reads the first message of a watch stream without sending a request, so that the instance does not count the operator among the entry instances.
func readConfig(address string) *wire.Config {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	stream := wireconnect.NewControlServiceClient(listener.NewClient(), "http://"+address).Watch(ctx)
	defer func() { _ = stream.CloseResponse() }()
	if stream.Send(nil) != nil {
		return nil
	}
	response, err := stream.Receive()
	if err != nil {
		return nil
	}
	if response.GetConfig() == nil {
		// The first message has no configuration while nothing has been configured.
		return &wire.Config{}
	}
	return response.GetConfig()
}

// addDrains adds the drained availability zones by the newest configuration of the control instances that have answered. Without any, the zones are unknown.
func (s *fleetStatus) addDrains() {
	var newest *wire.Config
	for _, control := range s.Controls {
		if control.Error != "" {
			continue
		}
		if config := readConfig(control.Address); config != nil && (newest == nil || config.GetRevision() > newest.GetRevision()) {
			newest = config
		}
	}
	if newest == nil {
		return
	}
	s.DrainedZones = []string{}
	for _, zone := range newest.GetZones() {
		if zone.GetDrained() {
			s.DrainedZones = append(s.DrainedZones, zone.GetZone())
		}
	}
}

// drainsLine returns the line of the status that names the drained availability zones.
func (s *fleetStatus) drainsLine() string {
	switch {
	case s.DrainedZones == nil:
		return "drained availability zones: unknown, no control instance is in contact with a quorum"
	case len(s.DrainedZones) == 0:
		return "drained availability zones: none"
	default:
		return "drained availability zones: " + strings.Join(s.DrainedZones, ", ")
	}
}
