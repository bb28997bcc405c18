// Package servingsuite runs the decision code of the data plane in the simulator: turns and tool calls
// (internal/dataplane/turn), the choice of a server with the ejection of outliers (internal/dataplane/schedule),
// admission (internal/dataplane/limit), the lease of a front node (internal/controlplane/lease) and the ledger's
// decisions (internal/state/ledger), under five scenarios of faults and load, alone and together, all drawn from the
// seed.
//
// What is real: the packages named above. What is a model: the core (one machine that grants leases and delivers views;
// its replication has the state suite), the ledger's store (one machine), model servers and tool servers, callers and
// operators, and the front node's shell, which carries commands out as internal/dataplane/front does. Sessions have no
// directory here (the ownership suite has it): callers send to any front node, so that two may claim one session at a
// time, and the epochs of ledger and servers have to keep them apart.
package servingsuite
