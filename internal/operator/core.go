package operator

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	corePath    = "/v1/core"
	membersPath = corePath + "/members"
)

func (c *commandLine) coreCommand() *cobra.Command {
	return groupCommand("core", "look at the core's members and change them",
		c.coreStatusCommand(), c.coreAddCommand(), c.coreRemoveCommand())
}

func (c *commandLine) coreStatusCommand() *cobra.Command {
	var local bool
	command := &cobra.Command{
		Use:   "status",
		Short: "show the core's members, as the leader sees them",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path := corePath
			if local {
				path += "?local=true"
			}
			return c.show(command.Context(), path, renderCore)
		},
	}
	command.Flags().BoolVar(&local, "local", false, "ask the first process that answers, also when there is no leader")
	return command
}

func renderCore(writer io.Writer, response []byte) error {
	status, err := decodeCoreStatus(response)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(writer, "cluster %s, term %d, committed %d, applied %d, log from %d; answered by %s\n",
		status.GetClusterId(), status.GetTerm(), status.GetCommit(), status.GetApplied(), status.GetFirstIndex(),
		status.GetName())
	if err != nil {
		return err
	}
	rows := newGrid("name", "id", "role", "zone", "address", "http", "leader")
	for _, member := range status.GetConfiguration().GetMembers() {
		leads := ""
		if member.GetId() == status.GetLeader() {
			leads = "leads"
		}
		rows.add(
			member.GetName(), member.GetId(), roleName(member), member.GetZone(), member.GetAddress(), member.GetHttpAddress(),
			leads,
		)
	}
	return rows.print(writer)
}

func roleName(member *protocol.CoreMember) string {
	if member.GetVoter() {
		return "voter"
	}
	return "standby"
}

func (c *commandLine) coreAddCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "add ADDRESS",
		Short: "add the core process with this internal address (IP:port)",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := checkAddresses("ADDRESS", arguments); err != nil {
				return err
			}
			body, err := protojson.Marshal(&protocol.CoreMember{Address: arguments[0]})
			if err != nil {
				return err
			}
			response, err := c.order(command.Context(), http.MethodPost, membersPath, body)
			if err != nil {
				return err
			}
			return c.printDone(response, "core process %s was added\n", arguments[0])
		},
	}
}

func (c *commandLine) coreRemoveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "remove NAME",
		Short: "remove the core process of this name",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			response, err := c.order(command.Context(), http.MethodDelete, membersPath+"/"+url.PathEscape(arguments[0]), nil)
			if err != nil {
				return err
			}
			return c.printDone(response, "core process %s was removed\n", arguments[0])
		},
	}
}
