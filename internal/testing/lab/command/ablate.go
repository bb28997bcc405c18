package command

import (
	"github.com/spf13/cobra"

	"github.com/rosestand/rosestand/internal/testing/lab/ablation"
)

// newAblate plays a deployment of the scheduling model without each mechanism.
func newAblate(e *environment) *cobra.Command {
	return &cobra.Command{
		Use:   "ablate FILE",
		Short: "Switch each mechanism of the placement of turns off, in the scheduling model, and tell what it is worth",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			file, err := ablation.Load(arguments[0])
			if err != nil {
				return err
			}
			ablation.Print(e.output, file, file.Run())
			return nil
		},
	}
}
