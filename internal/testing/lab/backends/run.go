package backends

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/testing/lab/modelserver"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
	"github.com/rosestand/rosestand/internal/testing/lab/toolserver"
)

const toolServerCapacity = 64

// Group is the stand-ins of one process.
type Group struct {
	shells   []*standin.Shell
	journals []*os.File
	client   *http.Client
}

// Start listens, announces and serves all servers of the settings.
func Start(ctx context.Context, settings *Settings, logger *log.Logger) (*Group, error) {
	group := &Group{client: &http.Client{}}
	for i := range settings.Servers {
		if err := group.add(ctx, settings, &settings.Servers[i], logger); err != nil {
			stopped, cancel := context.WithCancel(ctx)
			cancel()
			return nil, errors.CombineErrors(err, group.Stop(stopped))
		}
	}
	return group, nil
}

func (g *Group) add(ctx context.Context, settings *Settings, server *Server, logger *log.Logger) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", server.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", server.ID)
	}
	file, err := standin.OpenJournalFile(settings.JournalFolder, server.ID)
	if err != nil {
		return errors.CombineErrors(err, listener.Close())
	}
	g.journals = append(g.journals, file)
	incarnation := uint64(time.Now().UnixMilli())
	journal := standin.NewJournal(server.ID, incarnation, file, time.Now)
	faults := standin.NewFaultSwitch(server.Faults)
	service, capacity := newService(server, journal, faults)
	shell := standin.NewShell(standin.ShellOptions{
		Announcement: announcement(server, listener.Addr().String(), incarnation, capacity),
		Listener:     listener,
		Announcer:    standin.NewAnnouncer(settings.Fronts, g.client),
		Service:      service,
		Journal:      journal,
		Faults:       faults,
		Logger:       logger,
	})
	if err := shell.Start(ctx); err != nil {
		service.Close()
		return errors.CombineErrors(err, listener.Close())
	}
	g.shells = append(g.shells, shell)
	return nil
}

func newService(server *Server, journal *standin.Journal, faults *standin.FaultSwitch) (service standin.Service,
	capacity int,
) {
	if server.Kind == standin.KindToolServer {
		capacity = server.Capacity
		if capacity <= 0 {
			capacity = toolServerCapacity
		}
		return toolserver.New(toolserver.Settings{
			Tools: server.Tools, WorkMicros: server.WorkMicros, Capacity: capacity,
		}, journal, faults), capacity
	}
	rates := server.Rates.WithDefaults()
	return modelserver.New(rates, journal, faults), rates.MaxBatch
}

func announcement(server *Server, address string, incarnation uint64, capacity int) standin.Announcement {
	if server.AdvertisedAddress != "" {
		address = server.AdvertisedAddress
	}
	return standin.Announcement{
		ID: server.ID, Kind: server.Kind, Address: address, Zone: server.Zone, Region: server.Region,
		Group: server.Group, Models: orEmpty(server.Models), Tools: orEmpty(server.Tools),
		Incarnation: incarnation, Capacity: uint32(capacity), State: standin.StateReady,
	}
}

func orEmpty(names []string) []string {
	if names == nil {
		return []string{}
	}
	return names
}

// Stop drains and stops all servers within the context.
func (g *Group) Stop(ctx context.Context) error {
	var stopping errgroup.Group
	for _, shell := range g.shells {
		stopping.Go(func() error { return shell.Stop(ctx) })
	}
	err := stopping.Wait()
	g.client.CloseIdleConnections()
	for _, journal := range g.journals {
		err = errors.CombineErrors(err, journal.Close())
	}
	return err
}
