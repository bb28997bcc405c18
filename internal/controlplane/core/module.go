package core

import (
	"context"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/rosestand/rosestand/internal/controlplane/core/operators"
	"github.com/rosestand/rosestand/internal/controlplane/departure"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings/signoffkey"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// dataSubfolder is the subfolder of the data folder with the control log and its snapshots.
const dataSubfolder = "core"

// Module assembles the control plane. It depends on the types that package daemon
// supplies and provides the wire.Handler of the process.
func Module(settings *protocol.CoreSettings) fx.Option {
	return fx.Module("core",
		fx.Supply(settings),
		fx.Provide(
			NewMachine,
			func() storage.Filesystem { return storage.OSFilesystem{} },
			func() replica.Clock { return replica.SystemClock{} },
			newReplica,
			newService,
			func(service *Service) wire.Handler { return service },
		),
		fx.Invoke(serveOperators, runReplica, runService),
	)
}

func newReplica(
	settings *protocol.CoreSettings, machine *Machine, process *daemon.Process, caller wire.Caller,
	filesystem storage.Filesystem, clock replica.Clock, logger *log.Logger, registerer prometheus.Registerer,
) (*replica.Replica, error) {
	self := process.Self
	member, err := replica.New(replica.Options{
		Self: &protocol.CoreMember{
			Name: self.GetName(), Address: self.GetAddress(), HttpAddress: self.GetHttpAddress(),
			Zone: self.GetZone(), Region: self.GetRegion(),
		},
		Founders:          settings.GetFounders(),
		Seeds:             settings.GetNode().GetSeeds(),
		TargetVoters:      int(settings.GetTargetVoters()),
		ElectionTimeout:   millis(settings.GetElectionTimeoutMillis()),
		HeartbeatInterval: millis(settings.GetHeartbeatMillis()),
		ReplaceVoterAfter: millis(settings.GetReplaceVoterMillis()),
		SnapshotEntries:   uint64(settings.GetSnapshotEntries()),
		Folder:            filepath.Join(settings.GetNode().GetDataFolder(), dataSubfolder),
		Filesystem:        filesystem,
		Clock:             clock,
		Caller:            caller,
		Machine:           machine,
		Logger:            logger,
		Registerer:        registerer,
		OnFatal:           process.Fail,
	})
	if err != nil {
		return nil, err
	}
	process.OnSettings(func(changed *protocol.NodeSettings) { member.SetSeeds(changed.GetSeeds()) })
	return member, nil
}

func millis(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

func newService(
	settings *protocol.CoreSettings, machine *Machine, consensus *replica.Replica, caller wire.Caller,
	clock replica.Clock, logger *log.Logger, registerer prometheus.Registerer,
) (*Service, error) {
	keys, err := signoffkey.Parse(settings.GetSignOffKeys())
	if err != nil {
		return nil, err
	}
	tokens := &operators.Tokens{}
	if path := settings.GetOperatorTokenFile(); path != "" {
		if tokens, err = operators.LoadTokens(path); err != nil {
			return nil, err
		}
	}
	return New(Options{
		Consensus:        consensus,
		Machine:          machine,
		Clock:            clock,
		Caller:           caller,
		Lease:            millis(settings.GetLeaseMillis()),
		ShardCount:       settings.GetShardCount(),
		ReplicaCount:     settings.GetReplicaCount(),
		CoalesceInterval: millis(settings.GetCoalesceMillis()),
		FirstKeys:        keys,
		Tokens:           tokens,

		TrustOperators: settings.GetTrustOperators(),
		BackEndLease:   millis(settings.GetBackEndLeaseMillis()),

		Logger:     logger,
		Registerer: registerer,
	}), nil
}

// serveOperators routes every path that the daemon does not serve to the operators' HTTP interface.
func serveOperators(engine *gin.Engine, service *Service) {
	engine.NoRoute(gin.WrapH(service))
}

// runReplica starts the replica; it stops last, so that leadership is handed over while nodes are still served.
func runReplica(lifecycle fx.Lifecycle, consensus *replica.Replica) {
	lifecycle.Append(fx.Hook{OnStart: consensus.Start, OnStop: consensus.Stop})
}

func runService(
	lifecycle fx.Lifecycle, service *Service, consensus *replica.Replica, process *daemon.Process, logger *log.Logger,
) {
	process.Readiness.AddCheck("leader", func() string {
		if consensus.Leader() == nil {
			return "the core has no leader that this process knows"
		}
		return ""
	})
	process.OnDrain("core", func(ctx context.Context) error {
		consensus.SetStopping()
		departure.Await(ctx, &coreFleet{machine: service.machine, consensus: consensus}, logger)
		return nil
	})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			service.Start() //nolint:contextcheck // the owner outlives the start, which the context bounds
			return nil
		},
		OnStop: func(context.Context) error {
			service.Stop()
			return nil
		},
	})
}
