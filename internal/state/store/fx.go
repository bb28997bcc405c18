package store

import (
	"context"
	"path/filepath"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/controlplane/departure"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/datafolder"
	"github.com/rosestand/rosestand/internal/state/store/lifecycle"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// ledgerFolder is the folder, in the data folder of the process, that contains all files of a store.
const ledgerFolder = "ledger"

// readyCondition is the readiness check of a store's link to the core.
const readyCondition = "core"

// diskCondition is the readiness check of a store's disk.
const diskCondition = "disk"

// Module is the store plane. It provides the folder, the link to the core, the
// Supervisor of the store and its wire.Handler, and starts and stops them with the process.
func Module(settings *protocol.StoreSettings) fx.Option {
	return fx.Module("store",
		fx.Supply(settings),
		fx.Provide(
			provideOpener,
			func() Clock { return lifecycle.SystemClock{} },
			provideFolder,
			provideIdentity,
			provideLink,
			provideStore,
			func(s *Supervisor) wire.Handler { return s },
		),
		fx.Invoke(registerHooks),
	)
}

func provideOpener(settings *protocol.StoreSettings, node *protocol.NodeSettings) FolderOpener {
	options := Options{Settings: settings}
	path := filepath.Join(node.GetDataFolder(), ledgerFolder)
	return func() (*datafolder.Folder, error) {
		return datafolder.Open(storage.OSFilesystem{}, path, options.segmentBytes())
	}
}

func provideFolder(open FolderOpener, logger *log.Logger) (*datafolder.Folder, error) {
	folder, err := open()
	if err != nil {
		return nil, err
	}
	if folder.Lost != nil {
		logger.Error("damaged data folder moved aside, store to be rebuilt from its peers",
			"error", folder.Lost, "storage_id", folder.StorageID)
	}
	return folder, nil
}

// identity describes this store under the storage id of its ledger folder.
type identity struct {
	node *protocol.Node
}

func provideIdentity(process *daemon.Process, folder *datafolder.Folder) identity {
	node := proto.CloneOf(process.Self)
	node.StorageId = folder.StorageID
	return identity{node: node}
}

func provideLink(
	self identity, node *protocol.NodeSettings, caller wire.Caller, logger *log.Logger, registerer prometheus.Registerer,
	process *daemon.Process,
) *corelink.Link {
	link := corelink.New(corelink.Options{
		Self:       self.node,
		Seeds:      node.GetSeeds(),
		Caller:     caller,
		Logger:     logger,
		Registerer: registerer,
	})
	process.OnSettings(func(changed *protocol.NodeSettings) { link.SetSeeds(changed.GetSeeds()) })
	return link
}

func provideStore(
	settings *protocol.StoreSettings, self identity, folder *datafolder.Folder, open FolderOpener, caller wire.Caller,
	link *corelink.Link, clock Clock, logger *log.Logger, registerer prometheus.Registerer, process *daemon.Process,
) (*Supervisor, error) {
	return NewSupervisor(Options{
		Self:       proto.CloneOf(self.node),
		Caller:     caller,
		Core:       link,
		Clock:      clock,
		Settings:   settings,
		Memory:     process.Memory,
		Logger:     logger,
		Registerer: registerer,
		Fatal:      process.Fail,
		Seed:       self.node.GetIncarnation(),
	}, folder, open)
}

func registerHooks(
	lifecycle fx.Lifecycle, store *Supervisor, link *corelink.Link, process *daemon.Process, logger *log.Logger,
) {
	link.Subscribe(func(*corelink.View) { store.ViewChanged() })
	process.Readiness.AddCheck(readyCondition, func() string {
		if !link.Ready() {
			return "no lease, or no fresh view of the placement"
		}
		return ""
	})
	process.Readiness.AddCheck(diskCondition, func() string {
		if !store.Serving() {
			return waitingForDiskReason
		}
		return ""
	})
	process.OnDrain("store", func(ctx context.Context) error {
		link.SetDraining(true)
		departure.Await(ctx, &storeFleet{link: link}, logger)
		return nil
	})
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			store.Start()
			return link.Start(ctx)
		},
		OnStop: func(ctx context.Context) error {
			if err := link.Stop(ctx); err != nil {
				return err
			}
			return store.Stop()
		},
	})
}
