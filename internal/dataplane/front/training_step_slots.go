package front

import (
	"github.com/rosestand/rosestand/internal/dataplane/front/admission"
	"github.com/rosestand/rosestand/internal/dataplane/front/backends"
)

// stepSlots is how many generations of a version this front node may have in progress.
func (s *Service) stepSlots(key admission.StepKey, liveWaits bool) int {
	return s.backEnds.Load().StepSlots(backends.StepSlotsQuery{
		Group: key.Group, Pin: &backends.VersionPin{Model: key.Model, Version: key.Version},
		Index: s.rollout.Policies().Active,
		Front: s.name, Zone: s.zone, FrontNodes: s.frontNodes(), LiveWaits: liveWaits,
	}, s.clock.Now())
}
