package ledger

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// trainingStepPrefix begins the program names that are reserved for the registers of training steps.
	trainingStepPrefix = "rosestand/training-step/"
	// MaxTrainingStepBytes bounds the name of a training step, so that with the prefix it remains a valid identifier.
	MaxTrainingStepBytes = 256
	// MaxWeightVersions bounds the weight versions that one committed or released turn names.
	MaxWeightVersions = 16
	// maxGenerationCounts bounds the versions that a membership counts separately, so that servers that name ever new
	// versions cannot grow the record. Generations on further versions are counted under UnknownWeightVersion.
	maxGenerationCounts = 32
	// UnknownWeightVersion is the version under which generations are counted whose server named none.
	UnknownWeightVersion = 0
	// PinRenewalInterval is the age from which a pin's record is written again when an owner requests the pin, so that
	// its retention restarts. An owner that caches a pin must request it again before MinPinRetention less
	// PinRenewalInterval is over.
	PinRenewalInterval = time.Hour
	// MinPinRetention is how long a pin is retained at least after an owner requested it, also when the step names a
	// shorter time.
	MinPinRetention = DefaultRetention
)

// TrainingStepProgram returns the reserved program name under which the register of a training step is stored.
func TrainingStepProgram(step string) string { return trainingStepPrefix + step }

// IsReservedProgram reports whether the name may be used for registers of training steps only.
func IsReservedProgram(program string) bool { return strings.HasPrefix(program, trainingStepPrefix) }

// pinTrainingStep pins the weight version of a step. The first version proposed wins and never changes.
func pinTrainingStep(
	record *protocol.ProgramRecord, program string, pin *protocol.PinTrainingStep, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	current := record.GetTrainingStepPin()
	switch {
	case current == nil && pin.GetWeightVersion() == 0:
		return nil, ResultWithStatus(protocol.LedgerStatus_LEDGER_STEP_UNKNOWN)
	case current == nil:
		return createPin(program, pin, now)
	case pin.GetModel() != "" && pin.GetModel() != current.GetModel():
		return nil, pinResult(protocol.LedgerStatus_LEDGER_STEP_MISMATCH, current)
	default:
		return renewPin(record, pin, now), pinResult(protocol.LedgerStatus_LEDGER_OK, current)
	}
}

func pinResult(status protocol.LedgerStatus, pin *protocol.TrainingStepPin) *protocol.LedgerResult {
	return &protocol.LedgerResult{Status: status, TrainingStepPin: pin}
}

func createPin(
	program string, pin *protocol.PinTrainingStep, now time.Time,
) (*protocol.ProgramRecord, *protocol.LedgerResult) {
	changed := newDraft(program, nil, now)
	changed.KeepingMillis = pinRetentionMillis(pin)
	changed.TrainingStepPin = &protocol.TrainingStepPin{
		Step:           pin.GetStep(),
		Model:          pin.GetModel(),
		WeightVersion:  pin.GetWeightVersion(),
		PinnedBy:       pin.GetOwner(),
		PinnedAtMillis: now.UnixMilli(),
	}
	return changed.ProgramRecord, pinResult(protocol.LedgerStatus_LEDGER_OK, changed.TrainingStepPin)
}

// renewPin returns the record with a later end of its retention, or nil when it was renewed recently. A request without
// an owner only reads and renews nothing.
func renewPin(record *protocol.ProgramRecord, pin *protocol.PinTrainingStep, now time.Time) *protocol.ProgramRecord {
	if pin.GetOwner() == "" {
		return nil
	}
	isFresh := now.UnixMilli() < record.GetUpdatedAtMillis()+PinRenewalInterval.Milliseconds()
	if isFresh && pinRetentionMillis(pin) <= record.GetKeepingMillis() {
		return nil
	}
	changed := newDraft(record.GetProgram(), record, now)
	changed.KeepingMillis = max(record.GetKeepingMillis(), pinRetentionMillis(pin))
	return changed.ProgramRecord
}

// pinRetentionMillis returns the retention of a pin. It is never short: a pin that expired while its step still
// generates could be set again, to another version.
func pinRetentionMillis(pin *protocol.PinTrainingStep) int64 {
	return max(pin.GetKeepingMillis(), MinPinRetention.Milliseconds())
}

// isPinRead reports whether the request can change nothing, not even the retention of the pin.
func isPinRead(pin *protocol.PinTrainingStep) bool {
	return pin.GetWeightVersion() == 0 && pin.GetOwner() == ""
}

// belongsToStep reports whether a program may generate for the named step, or for none when reference is nil. A member
// generates for its step only; a program that ran turns without a step cannot join one.
func belongsToStep(record *protocol.ProgramRecord, reference *protocol.TrainingStepReference) bool {
	membership := record.GetTrainingStep()
	switch {
	case reference == nil:
		return membership == nil
	case membership == nil:
		return !hasRun(record)
	default:
		return membership.GetStep() == reference.GetStep() && membership.GetWeightVersion() == reference.GetWeightVersion()
	}
}

// hasRun reports whether a turn of the program may have run.
func hasRun(record *protocol.ProgramRecord) bool {
	if record.GetSettled() > 0 || len(record.GetReservations()) > 0 {
		return true
	}
	for _, session := range record.GetSessions() {
		if session.GetTurns() > 0 {
			return true
		}
	}
	return hasRunRequest(record)
}

// stepMismatch rejects a turn. It shows nothing of the program but the step for which it generates.
func stepMismatch(record *protocol.ProgramRecord) *protocol.LedgerResult {
	return &protocol.LedgerResult{
		Status:  protocol.LedgerStatus_LEDGER_STEP_MISMATCH,
		Program: &protocol.ProgramRecord{Program: record.GetProgram(), TrainingStep: record.GetTrainingStep()},
	}
}

// join makes the program a member of the step unless it is already one.
func (d *draft) join(reference *protocol.TrainingStepReference) {
	if reference == nil || d.TrainingStep != nil {
		return
	}
	d.TrainingStep = &protocol.TrainingStepMembership{
		Step:          reference.GetStep(),
		WeightVersion: reference.GetWeightVersion(),
	}
}

// countGeneration counts a generation of a member by the versions that its server named: as completed when it reached
// its caller complete and all of them are the pinned one, otherwise as discarded under each version that differs, or
// under the pinned one when none does.
func (d *draft) countGeneration(versions []uint64, completed bool) {
	if d.TrainingStep == nil {
		return
	}
	pinnedVersion := d.TrainingStep.GetWeightVersion()
	if len(versions) == 0 {
		versions = []uint64{UnknownWeightVersion}
	}
	differing := differingVersions(versions, pinnedVersion)
	switch {
	case len(differing) > 0:
		for _, version := range differing {
			d.addToCount(version, func(count *protocol.GenerationCount) { count.Discarded++ })
		}
	case completed:
		d.addToCount(pinnedVersion, func(count *protocol.GenerationCount) { count.Completed++ })
	default:
		d.addToCount(pinnedVersion, func(count *protocol.GenerationCount) { count.Discarded++ })
	}
}

// differingVersions returns each version other than the pinned one once, lowest first.
func differingVersions(versions []uint64, pinnedVersion uint64) []uint64 {
	differing := slices.DeleteFunc(slices.Clone(versions), func(version uint64) bool { return version == pinnedVersion })
	slices.Sort(differing)
	return slices.Compact(differing)
}

// addToCount changes a copy of the count of one version; the membership of the previous record stays unchanged.
func (d *draft) addToCount(version uint64, add func(*protocol.GenerationCount)) {
	counts := slices.Clone(d.TrainingStep.GetGenerations())
	index, found := findCount(counts, version)
	if !found && len(counts) >= maxGenerationCounts && version != d.TrainingStep.GetWeightVersion() {
		version = UnknownWeightVersion
		index, found = findCount(counts, version)
	}
	changed := &protocol.GenerationCount{WeightVersion: version}
	if found {
		changed.Completed = counts[index].GetCompleted()
		changed.Discarded = counts[index].GetDiscarded()
		counts[index] = changed
	} else {
		counts = slices.Insert(counts, index, changed)
	}
	add(changed)
	d.TrainingStep = &protocol.TrainingStepMembership{
		Step:          d.TrainingStep.GetStep(),
		WeightVersion: d.TrainingStep.GetWeightVersion(),
		Generations:   counts,
	}
}

// findCount returns the index of a version, or the index at which to insert it.
func findCount(counts []*protocol.GenerationCount, version uint64) (index int, found bool) {
	return slices.BinarySearchFunc(counts, version, func(count *protocol.GenerationCount, version uint64) int {
		return cmp.Compare(count.GetWeightVersion(), version)
	})
}

// TotalGenerations returns how many generations a membership counts. It grows with each change of the counts and never
// falls, so of two records of one program the one with the higher total is the later.
func TotalGenerations(membership *protocol.TrainingStepMembership) uint64 {
	var counted uint64
	for _, count := range membership.GetGenerations() {
		counted = addWithoutOverflow(counted, addWithoutOverflow(count.GetCompleted(), count.GetDiscarded()))
	}
	return counted
}
