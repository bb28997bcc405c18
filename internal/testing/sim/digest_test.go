package sim_test

import (
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

func TestDigestSumsEveryCountAndNoNames(t *testing.T) {
	made := func() sim.Report {
		return sim.Report{
			Seed: 1, Steps: 5, Elapsed: time.Second, Fingerprint: 7,
			Rules: []sim.RuleResult{{Name: "one", Provoked: 2}, {Name: "two"}},
		}
	}
	named := made()
	named.Rules[0].Name = "another name"
	if named.Digest() != made().Digest() {
		t.Fatal("the name of a rule counts")
	}
	for what, change := range map[string]func(*sim.Report){
		"steps":       func(r *sim.Report) { r.Steps++ },
		"elapsed":     func(r *sim.Report) { r.Elapsed++ },
		"order":       func(r *sim.Report) { r.Fingerprint++ },
		"sent":        func(r *sim.Report) { r.MessagesSent++ },
		"lost":        func(r *sim.Report) { r.MessagesLost++ },
		"planned":     func(r *sim.Report) { r.Schedule = make([]sim.Fault, 1) },
		"applied":     func(r *sim.Report) { r.Applied = make([]sim.Fault, 1) },
		"skipped":     func(r *sim.Report) { r.Skipped = make([]sim.Fault, 1) },
		"provoked":    func(r *sim.Report) { r.Rules[1].Provoked++ },
		"violated":    func(r *sim.Report) { r.Rules[0].Violations = []string{"broken"} },
		"rules' turn": func(r *sim.Report) { r.Rules[0], r.Rules[1] = r.Rules[1], r.Rules[0] },
	} {
		changed := made()
		change(&changed)
		if changed.Digest() == made().Digest() {
			t.Errorf("%s does not count", what)
		}
	}
}
