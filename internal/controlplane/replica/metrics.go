package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rosestand/rosestand/internal/controlplane/consensus"
)

// All metric names begin with these prefixes.
const (
	namespace = "rosestand"
	subsystem = "core"
)

// metrics holds the collectors of a replica, which are safe for concurrent use.
type metrics struct {
	messagesSent, sendFailures, messagesDropped prometheus.Counter
	proposals, batches, snapshots               prometheus.Counter
	snapshotsInstalled, leaderships, overloads  prometheus.Counter
	joinFailures, membershipChanges             prometheus.Counter
	term, commit, applied, firstIndex           prometheus.Gauge
	leader, members, snapshotBytes              prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	var collectors []prometheus.Collector
	counter := func(name, help string) prometheus.Counter {
		options := prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}
		collector := prometheus.NewCounter(options)
		collectors = append(collectors, collector)
		return collector
	}
	gauge := func(name, help string) prometheus.Gauge {
		options := prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}
		collector := prometheus.NewGauge(options)
		collectors = append(collectors, collector)
		return collector
	}
	built := &metrics{
		messagesSent:       counter("consensus_messages_sent_total", "Consensus messages that a member took."),
		sendFailures:       counter("consensus_send_failures_total", "Consensus messages that could not be delivered."),
		messagesDropped:    counter("consensus_messages_dropped_total", "Consensus messages dropped from a full queue."),
		proposals:          counter("consensus_proposals_total", "Commands appended as leader."),
		batches:            counter("consensus_log_batches_total", "Batches written to the log with one sync."),
		snapshots:          counter("consensus_snapshots_total", "Snapshots made durable."),
		snapshotsInstalled: counter("consensus_snapshots_installed_total", "Snapshots received from a leader."),
		leaderships:        counter("consensus_leaderships_total", "Times this member became leader."),
		overloads:          counter("consensus_overloads_total", "Requests refused because a queue was full."),
		membershipChanges:  counter("consensus_membership_changes_total", "Membership changes proposed by this leader."),
		joinFailures: counter("consensus_join_failures_total",
			"Attempts to join a cluster that were refused or not answered."),
		term:          gauge("consensus_term", "Current term."),
		commit:        gauge("consensus_commit_index", "Last committed entry known here."),
		applied:       gauge("consensus_applied_index", "Last applied entry."),
		firstIndex:    gauge("consensus_first_index", "First entry kept in memory."),
		leader:        gauge("consensus_leader", "1 while this member leads."),
		members:       gauge("consensus_members", "Members of the newest configuration."),
		snapshotBytes: gauge("consensus_snapshot_bytes", "Size of the newest snapshot taken here."),
	}
	if registerer == nil {
		return built, nil
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return built, nil
}

func (m *metrics) observe(status *consensus.Status) {
	m.term.Set(float64(status.Term))
	m.commit.Set(float64(status.Commit))
	m.applied.Set(float64(status.Applied))
	m.firstIndex.Set(float64(status.FirstIndex))
	m.members.Set(float64(len(status.Configuration.GetMembers())))
	m.leader.Set(0)
	if status.Role == consensus.Leader {
		m.leader.Set(1)
	}
}
