package operator

import (
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	nodesPath    = "/v1/nodes"
	backEndsPath = "/v1/backends"
)

func (c *commandLine) nodesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "nodes",
		Short: "list the nodes under a lease and what each has in force",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.show(command.Context(), nodesPath, renderNodes)
		},
	}
}

func renderNodes(writer io.Writer, response []byte) error {
	listed := &nodesResponse{}
	if err := decode(response, listed); err != nil {
		return err
	}
	nodes, err := decodeList[protocol.Node](listed.Nodes)
	if err != nil {
		return err
	}
	leases := map[string]leaseResponse{}
	for _, lease := range listed.Leases {
		leases[lease.Name] = lease
	}
	rows := newGrid(
		"name", "kind", "zone", "region", "address", "http", "lease ms", "configuration", "back ends", "placement",
		"draining",
	)
	for _, node := range nodes {
		lease := leases[node.GetName()]
		rows.add(node.GetName(), strings.ToLower(node.GetKind().String()), node.GetZone(), node.GetRegion(),
			node.GetAddress(), node.GetHttpAddress(), lease.MillisLeft,
			lease.Active.Configuration, lease.Active.BackEnds, lease.Active.Placement, node.GetDraining())
	}
	return rows.print(writer)
}

func (c *commandLine) backEndsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "backends",
		Short: "list and drain model servers and tool servers",
		Args:  cobra.NoArgs,
		RunE:  c.listBackEnds,
	}
	command.AddCommand(
		&cobra.Command{Use: "list", Short: "list back ends", Args: cobra.NoArgs, RunE: c.listBackEnds},
		c.backEndsDrainCommand(),
	)
	return command
}

func (c *commandLine) listBackEnds(command *cobra.Command, _ []string) error {
	return c.show(command.Context(), backEndsPath, renderBackEnds)
}

func renderBackEnds(writer io.Writer, response []byte) error {
	view := &protocol.BackEndView{}
	if err := decodeProto(response, view); err != nil {
		return err
	}
	rows := newGrid("id", "kind", "state", "address", "zone", "region", "group", "serves", "capacity", "incarnation")
	for _, backEnd := range view.GetBackEnds() {
		serves := strings.Join(append(append([]string(nil), backEnd.GetModels()...), backEnd.GetTools()...), ",")
		rows.add(backEnd.GetId(), strings.ToLower(backEnd.GetKind().String()), strings.ToLower(backEnd.GetState().String()),
			backEnd.GetAddress(), backEnd.GetZone(), backEnd.GetRegion(), backEnd.GetGroup(), serves,
			backEnd.GetCapacity(), backEnd.GetIncarnation())
	}
	return rows.print(writer)
}

func (c *commandLine) backEndsDrainCommand() *cobra.Command {
	var incarnation uint64
	command := &cobra.Command{
		Use:   "drain ID",
		Short: "mark a back end as draining; answers once no front node sends to it any more",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			body, err := protojson.Marshal(&protocol.DrainBackEndCommand{Id: arguments[0], Incarnation: incarnation})
			if err != nil {
				return err
			}
			response, err := c.order(
				command.Context(), http.MethodPost, backEndsPath+"/"+url.PathEscape(arguments[0])+"/drain", body,
			)
			if err != nil {
				return err
			}
			drained := &drainResponse{}
			if err := decode(response, drained); err != nil {
				return err
			}
			return c.printDone(response, "back end %s is drained in view %d\n", arguments[0], drained.ViewVersion)
		},
	}
	command.Flags().Uint64Var(&incarnation, "incarnation", 0, "incarnation to drain; the present one when absent")
	return command
}
