package command

import (
	"github.com/spf13/pflag"

	"github.com/rosestand/rosestand/internal/testing/lab/deployment"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

const rateFlag = "rate"

// deploymentOptions choose the fleet of a run: a built-in site, or the deployment of a file.
type deploymentOptions struct {
	site string
	file string
	rate float64
}

func (o *deploymentOptions) register(flags *pflag.FlagSet, name site.Name, usage string, rate float64) {
	flags.StringVar(&o.site, "site", string(name), usage)
	flags.StringVar(&o.file, "deployment", "", "file of a deployment, in place of a built-in site")
	flags.Float64Var(&o.rate, rateFlag, rate,
		"conversations a second outside of bursts; that of the file where one is given and this is not")
}

// choose gives the deployment of the file, else the built-in site at the sizes given.
func (o *deploymentOptions) choose(flags *pflag.FlagSet, sizes site.Sizes) (*deployment.Deployment, error) {
	if o.file == "" {
		chosen := deployment.Of(site.Name(o.site), sizes)
		chosen.Load.ConversationsPerSecond = o.rate
		return chosen, nil
	}
	chosen, err := deployment.Load(o.file)
	if err != nil {
		return nil, err
	}
	if flags.Changed(rateFlag) {
		chosen.Load.ConversationsPerSecond = o.rate
	}
	return chosen, nil
}
