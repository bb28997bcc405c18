package command

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/report"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// audit reads the journals, holds them against the evidence, prints and keeps the report.
func (e *environment) audit(folder string, evidence *audit.Evidence) error {
	journal, err := standin.ReadJournals(filepath.Join(folder, "journals"))
	if err != nil {
		return err
	}
	evidence.Journal = journal
	found := audit.Audit(*evidence)
	report.PrintAudit(e.output, found)
	saved := savedAudit{
		Orders: evidence.Orders, Disturbed: evidence.FaultIntervals, Returns: evidence.Recoveries,
		Candidates: evidence.Candidates, Report: found,
	}
	content, err := json.MarshalIndent(&saved, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode audit")
	}
	if err := os.WriteFile(filepath.Join(folder, "audit.json"), content, 0o644); err != nil {
		return errors.Wrap(err, "write audit")
	}
	if !found.Clean() {
		return &ViolationError{What: "the audit found violations, see " + folder}
	}
	return nil
}

// savedAudit is the form of an audit in the folder of a run.
type savedAudit struct {
	Orders     []audit.Order         `json:"orders"`
	Disturbed  []audit.FaultInterval `json:"disturbed"`
	Returns    []audit.Recovery      `json:"returns"`
	Candidates []uint64              `json:"candidates,omitempty"`
	Report     *audit.Report         `json:"report"`
}

// newAudit audits the folder of an earlier run again.
func newAudit(e *environment) *cobra.Command {
	return &cobra.Command{
		Use:   "audit FOLDER",
		Short: "Audit the folder of an earlier run again",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			folder := arguments[0]
			requestLog, err := caller.LoadRequestLog(filepath.Join(folder, "book.json"))
			if err != nil {
				return err
			}
			content, err := os.ReadFile(filepath.Join(folder, "audit.json"))
			if err != nil {
				return errors.Wrap(err, "read audit")
			}
			var saved savedAudit
			if err := json.Unmarshal(content, &saved); err != nil {
				return errors.Wrap(err, "decode audit")
			}
			return e.audit(folder, &audit.Evidence{
				RequestLog: requestLog, Orders: saved.Orders, FaultIntervals: saved.Disturbed,
				Recoveries: saved.Returns, Candidates: saved.Candidates,
			})
		},
	}
}
