package store

import (
	"context"
	"path/filepath"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/corelink"
	"github.com/rosestand/rosestand/internal/daemon"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/wire"
)

// ledgerFolder lies in the data folder of the process and holds all that a store keeps.
const ledgerFolder = "ledger"

// readyCondition is the name under which a store's readiness is shown.
const readyCondition = "core"

// Module is the store plane. It provides the folder, the link to the core, the
// Store and its wire.Handler, and starts and stops them with the process.
func Module(settings *protocol.StoreSettings) fx.Option {
	return fx.Module("store",
		fx.Supply(settings),
		fx.Provide(
			provideFolder,
			provideIdentity,
			provideLink,
			provideStore,
			func(s *Store) wire.Handler { return s },
		),
		fx.Invoke(run),
	)
}

func provideFolder(settings *protocol.StoreSettings, node *protocol.NodeSettings, logger *log.Logger) (*Folder, error) {
	options := Options{Settings: settings}
	folder, err := OpenFolder(storage.OSFilesystem{}, filepath.Join(node.GetDataFolder(), ledgerFolder), options.segmentBytes())
	if err != nil {
		return nil, err
	}
	if folder.Lost != nil {
		logger.Error("data folder was damaged; it is put aside and the store is rebuilt from its peers",
			"error", folder.Lost, "storage_id", folder.StorageID)
	}
	return folder, nil
}

// identity describes this store under the storage id of its ledger folder.
type identity struct {
	node *protocol.Node
}

func provideIdentity(process *daemon.Process, folder *Folder) identity {
	node := proto.CloneOf(process.Self)
	node.StorageId = folder.StorageID
	return identity{node: node}
}

func provideLink(
	self identity, node *protocol.NodeSettings, caller wire.Caller, logger *log.Logger, registerer prometheus.Registerer, process *daemon.Process,
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
	settings *protocol.StoreSettings, self identity, folder *Folder, caller wire.Caller, link *corelink.Link,
	logger *log.Logger, registerer prometheus.Registerer, process *daemon.Process,
) (*Store, error) {
	return New(Options{
		Self:       proto.CloneOf(self.node),
		Caller:     caller,
		Core:       link,
		Settings:   settings,
		Logger:     logger,
		Registerer: registerer,
		Fatal:      process.Fail,
		Seed:       self.node.GetIncarnation(),
	}, folder)
}

func run(lifecycle fx.Lifecycle, store *Store, link *corelink.Link, process *daemon.Process) {
	link.Subscribe(func(*corelink.View) { store.ViewChanged() })
	process.Readiness.AddCheck(readyCondition, func() string {
		if !link.Ready() {
			return "no lease, or no fresh view of the placement"
		}
		return ""
	})
	process.OnDrain("store", func(context.Context) error {
		link.SetDraining(true)
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
